"""Command line: reads arguments and starts programs."""
