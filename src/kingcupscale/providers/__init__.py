"""HTTP clients of the platform's services and of the model engines.

The client of each platform service implements a Protocol, so that the code
that uses it does not depend on HTTP.
"""
