"""Transition tables: what each event implies for a request and for its connection.

There are five tables: one for each connection that a request crosses (`client_requests`, `peer_calls`,
`backend_exchanges`), one for requests at the inbound proxy (`inbound_requests`), and one for keyed operations
(`keyed_operations`). Each has a cell for every state and event; combinations that can't occur are marked as
impossible. The tables specify the code: `http/backend_connection.py` looks up the cells of
`backend_exchanges`, and scripted peers test every cell against the code
(`simulation/exchange/play_tables.py`). `docs/design/exchange.md` shows them with the reasons. Each table has
its own module, so that a process loads only the tables that it uses.
"""
