"""A request on its way through a gateway."""

from ..quarantine.fingerprints import get_fingerprint


class RequestContext:
    """One request on its way. Times are on the steady clock."""

    __slots__ = (
        "_fingerprint",
        "account",
        "allowed",
        "answered",
        "arrived",
        "view_at_send",
        "catalog",
        "deadline",
        "draw",
        "permit",
        "excluded",
        "first_sent",
        "id",
        "is_trial",
        "last_event_id",
        "may_have_run",
        "last_byte_sent_at",
        "prompt",
        "reply",
        "request",
        "route",
        "sends",
        "service",
        "spent",
        "standing",
    )

    def __init__(self, request, reply, catalog, arrived):
        self.request = request
        self.reply = reply
        self.catalog = catalog
        self.arrived = arrived
        self.id = ""
        self.route = None
        self.account = None
        self.prompt = None
        self.allowed = 0.0
        self.deadline = arrived
        # Seconds that its client has spent on tries before this one.
        self.spent = 0.0
        self.service = None
        self.excluded = set()
        self.sends = 0
        self.first_sent = None
        # Of the last send, for the log: what was believed of the view and the upstream,
        # and when the request's last byte was handed to the connection.
        self.view_at_send = {}
        self.last_byte_sent_at = None
        self.answered = 0
        self.last_event_id = None
        self.may_have_run = False
        self.standing = None
        # Less than any other: a request that was not drawn for passes.
        self.draw = 0.0
        # The warming instance that it may be sent to, see `slowstart`.
        self.permit = None
        # Whether it tries out a request in quarantine.
        self.is_trial = False
        self._fingerprint = None

    @property
    def fingerprint(self):
        """Return what tells that another try asks for the same, see `fingerprints`."""
        if self._fingerprint is None:
            self._fingerprint = get_fingerprint(self.account, self.request)
        return self._fingerprint
