"""Small stand-ins of the platform and of backend servers, for the demo and tests.

They speak HTTP as the real ones do and can be told to fail. They are not a simulator:
each is one small server with its faults.
"""
