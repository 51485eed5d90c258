"""Selection of the upstream instance for a request.

The modules keep the load of each instance, the prompt parts in its cache and its
backoff, and choose among the instances that may receive the request. Of the other
packages of the gateway, this one imports ``transport`` and ``upstreams``.
"""
