"""One file a question: `python -m benchmarks.NAME [--quick]`; the last line printed is one JSON object.

Figures are ratios within one run. They are measurements, not tests: nothing here decides over red or green.
"""
