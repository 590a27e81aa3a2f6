"""Idempotency keys: one operation per key, regardless of which proxies its attempts reach."""
