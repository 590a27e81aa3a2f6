"""One operation per key, whichever proxies its tries reach."""
