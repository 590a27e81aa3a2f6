"""Constants that several files of the decision module use, see cometdoor/balancing/api.py."""

DECAY_MS = 10_000.0  # default time constant with which observations of endpoints lose weight
FAILURE_DECAY_MS = 3_000.0  # for failures; if longer, an endpoint rejecting half keeps most turns for 4 s
LOAD_REPORT_DECAY_MS = 4_000.0  # about five reports' time; with 2 s load oscillates between zones
PRIOR_SAMPLES = 3.0  # weight of a prior in observations, e.g. of its kind's mean for a new endpoint
