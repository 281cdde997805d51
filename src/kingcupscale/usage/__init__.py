"""Counts what organisations use and reports each usage window once.

There are two ways: ``runtime.Runtime`` counts requests by window (``windows``,
``countsender``), and ``node.Node`` keeps running totals of requests and tokens
(``counter``, ``counterreplication``, ``reporting``).
"""
