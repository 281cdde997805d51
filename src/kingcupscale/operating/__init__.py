"""The operator API, handover reports and metrics of a node."""
