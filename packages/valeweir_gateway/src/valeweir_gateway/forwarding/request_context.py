"""The context of a request in a gateway."""

from ..quarantine.fingerprints import get_fingerprint


class RequestContext:
    """State of one request while it is handled. Times are on the monotonic clock."""

    __slots__ = (
        "_fingerprint",
        "account",
        "allowed",
        "response_status",
        "arrived",
        "view_at_send",
        "catalog",
        "deadline",
        "draw",
        "permit",
        "excluded",
        "first_sent",
        "framing",
        "id",
        "is_position_known",
        "is_trial",
        "last_event_id",
        "may_have_run",
        "media_type",
        "origin",
        "partial_bytes",
        "last_byte_sent_at",
        "prompt",
        "reply",
        "request",
        "route",
        "sends",
        "is_from_start",
        "service",
        "shared_parts",
        "spent",
        "trial",
        "share_status",
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
        # Ids of the parts of the prompt that other requests may share.
        self.shared_parts = ()
        self.allowed = 0.0
        self.deadline = arrived
        # Seconds that the client has spent on earlier attempts of this request.
        self.spent = 0.0
        self.service = None
        self.excluded = set()
        self.sends = 0
        self.first_sent = None
        # For the log of the last send: the gateway's view of the upstream, and when the
        # request's last byte was written to the connection.
        self.view_at_send = {}
        self.last_byte_sent_at = None
        self.response_status = 0
        # For the log of the last send: the framing of the response, and how many bytes
        # of an unfinished event followed the last whole one.
        self.framing = None
        self.partial_bytes = 0
        self.last_event_id = None
        # The media type of the stream that has begun, "" if its head states none.
        self.media_type = ""
        # The `stream_origins.StreamOrigin` of a stream that may only go on there.
        self.origin = None
        # Whether the last forwarded event had an id, so that the stream can be resumed.
        self.is_position_known = True
        self.may_have_run = False
        self.share_status = None
        # Random number for admission. The lowest value admits a request for which none
        # was drawn.
        self.draw = 0.0
        # Id of the warming instance that the request may be sent to, see `slow_start`.
        self.permit = None
        # The `crash_attribution.Trial` that is due if the request is quarantined, and
        # whether this gateway may send it.
        self.trial = None
        self.is_trial = False
        # Whether the last send requested the whole response, not the rest of a stream.
        self.is_from_start = True
        self._fingerprint = None

    @property
    def fingerprint(self):
        """Return the digest that retries of the request share, see `fingerprints`."""
        if self._fingerprint is None:
            self._fingerprint = get_fingerprint(self.account, self.request)
        return self._fingerprint
