"""Values that a configuration may have and that nobody expects, for random configurations."""

ODD_TIMES_S = (5e-324, 1e-300, 1e-9, 0.001, 0.3, 2, 86_400, 1e17, 1.7e308)
ODD_NUMBERS = (1, 2, 3, 100, 16384, 1 << 31, (1 << 53) + 1, 1 << 63, (1 << 64) - 1)
ODD_TEXTS = ("", " ", "x", "é\n\u0000", "x" * 3000, '{"name":"},"}', "\U0001f3df")
LOWEST_NUMBER = -(1 << 63)
