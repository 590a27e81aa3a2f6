"""Plays every cell of the tables in `cometdoor/host/exchange/` against the code, with a scripted peer.

A cell is played in three steps: bring an exchange into its state, cause the event, and compare what the code
concludes and what it does with the connection next. Events with several forms are played in each form.
"""
