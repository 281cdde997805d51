"""HTTP clients of the platform's services and of the model engines.

The rest of the code uses the clients through Protocols, so that tests can
replace them.
"""
