"""The host of one instance of the decision module. Knows no protocol."""
