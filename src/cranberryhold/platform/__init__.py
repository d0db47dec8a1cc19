"""Translation between the users' platform and the flow daemons; decides nothing.

Names, formats and calls of the platform appear here and nowhere else in the package.
"""
