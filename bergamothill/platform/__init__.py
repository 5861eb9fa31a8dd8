"""The users' platform: its names, formats and calls; nothing here decides.

Each module decodes one of the platform's formats into the product's own types, or encodes them.
Names of fields, paths and header fields of the platform stand in this package only.
"""
