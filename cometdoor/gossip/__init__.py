"""How what one process knows comes to all: partial views, passing on, digests."""
