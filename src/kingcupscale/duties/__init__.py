"""Duties that one node performs at a time: leases, fencing and journals.

``node.Node`` runs its duties with this package; ``runtime.Runtime`` uses
``storage.locks`` instead.
"""
