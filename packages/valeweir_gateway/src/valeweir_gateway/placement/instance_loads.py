"""Load of one instance, and the records of single requests at it."""

# Time of the first ejection; each following one is twice as long.
INITIAL_EJECTION_S = 0.7


class InstanceLoad:
    """Load and health of one instance.

    ``waiting_body_bytes`` counts the bytes of this gateway's request bodies that are
    being sent or were sent and have no response head yet; ``is_body_full`` is true from
    when they kept a request away until the next head.

    ``unread`` and ``remote_unread`` count the prompt tokens that the instance has not
    read yet, ``active`` and ``remote_active`` the requests in flight there, from this
    gateway and from its peers. ``slowness`` is the factor by which the instance reads
    more slowly than the mean.
    """

    __slots__ = (
        "active",
        "responded_at",
        "call_time",
        "ejected_until",
        "errors",
        "is_body_full",
        "last_activity",
        "next_ejection",
        "probing",
        "remote_active",
        "remote_unread",
        "slowness",
        "unread",
        "waiting_body_bytes",
    )

    def __init__(self, now):
        self.waiting_body_bytes = 0
        self.is_body_full = False
        self.unread = 0
        self.remote_unread = 0
        self.active = 0
        self.remote_active = 0
        self.last_activity = now
        # Time of the last response head, None if there was none.
        self.responded_at = None
        self.errors = 0
        self.next_ejection = INITIAL_EJECTION_S
        self.ejected_until = 0.0
        self.probing = False
        self.slowness = 1.0
        # Mean service time of plain calls in seconds, None before the first.
        self.call_time = None


class Work:
    """One request at an instance, from sending it to its end.

    ``ahead`` is the number of unread tokens and ``running`` the number of requests that
    were at the instance before it; ``sent`` is the time of sending and ``first_data_s``
    the seconds until the first data of the response. ``body_bytes`` is the size of the
    request's body until the head of the response has arrived, then 0.
    ``pace`` is the `stream_pace.StreamPace` of a stream, None for other responses, and
    ``is_proved`` is whether the stream has cleared the parts of its prompt.
    """

    __slots__ = (
        "ahead",
        "body_bytes",
        "first_data_s",
        "instance_id",
        "is_prompt_read",
        "is_proved",
        "pace",
        "running",
        "sent",
        "tokens",
    )

    def __init__(self, instance_id, tokens, ahead, running, sent, body_bytes=0):
        self.body_bytes = body_bytes
        self.instance_id = instance_id
        self.tokens = tokens
        self.ahead = ahead
        self.running = running
        self.sent = sent
        self.first_data_s = None
        self.is_prompt_read = False
        self.is_proved = False
        self.pace = None
