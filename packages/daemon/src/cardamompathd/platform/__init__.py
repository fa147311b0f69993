"""The adapter between the daemon and the platform of its users.

It translates names, units, headers and calls, and makes no decisions.
"""
