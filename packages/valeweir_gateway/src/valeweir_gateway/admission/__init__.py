"""Who is served now and who is told to come back: shares, limits on waiting, load.

Imports ``fleet`` for sums over its reports; decides without sockets.
"""
