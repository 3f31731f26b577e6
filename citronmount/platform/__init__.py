"""Adapter to the users' platform: names, formats and HTTP calls.

The platform's names for concepts of this project:
- runner: worker; its ``born`` time: the start of the worker's incarnation
- backend: service
- zone: failure domain
- route: queue
- tenant: client account
- phase: step
- hold: lease renewal
- store: the service that holds the log
"""
