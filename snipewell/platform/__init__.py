"""Adapter to the platform that the product runs on: its names, message formats and HTTP calls.

The adapter makes no scheduling decisions. Each message is validated and decoded once, into the
product's own types. Machine, zone, tenant and back end are the platform's terms for a VM, an
availability zone, a client account and an upstream.
"""
