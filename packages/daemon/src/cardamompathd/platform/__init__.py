"""The adapter between the product and the platform of its users.

It translates names, units, headers and calls; it decides nothing.
"""
