"""The adapter to the users' platform: its names, formats and calls, and nothing that decides.

Each message is decoded once, checked, into the product's own types. The platform says machine,
zone, tenant and back end where the product says VM, availability zone, client account and upstream.
"""
