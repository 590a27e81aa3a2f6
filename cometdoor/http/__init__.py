"""HTTP/1.1 callers and backends."""
