"""Benchmarks, one file per question: `python -m benchmarks.NAME [--quick]`.

The last line printed is one JSON object. Figures are ratios within one run. They are measurements, not tests:
no figure makes CI fail.
"""
