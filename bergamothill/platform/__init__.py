"""Adapter to the users' platform: its names, formats and remote calls, without any decisions.

Each module decodes one of the platform's formats into the product's own types, or encodes them.
The platform's field names, paths and header names appear only in this package.
"""
