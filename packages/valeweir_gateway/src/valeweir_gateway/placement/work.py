"""Work of one instance, and one request's part of it."""

# Seconds for which an instance is set aside first; each next time is twice as long.
INITIAL_EJECTION_S = 0.7


class InstanceLoad:
    """Work of one instance. Tokens are prompt tokens not read yet."""

    __slots__ = (
        "active",
        "answered",
        "call_time",
        "ejected_until",
        "errors",
        "last_activity",
        "next_ejection",
        "probing",
        "remote_active",
        "remote_unread",
        "slowness",
        "unread",
    )

    def __init__(self, now):
        self.unread = 0
        self.remote_unread = 0
        self.active = 0
        self.remote_active = 0
        self.last_activity = now
        # When the head of its last answer came, None for never.
        self.answered = None
        self.errors = 0
        self.next_ejection = INITIAL_EJECTION_S
        self.ejected_until = 0.0
        self.probing = False
        self.slowness = 1.0
        # Seconds that a plain call takes here with a place of its own.
        self.call_time = None


class Work:
    """One request at an instance, from its send to its end."""

    __slots__ = (
        "ahead",
        "first",
        "instance_id",
        "is_prompt_read",
        "running",
        "sent",
        "tokens",
    )

    def __init__(self, instance_id, tokens, ahead, running, sent):
        self.instance_id = instance_id
        self.tokens = tokens
        self.ahead = ahead
        self.running = running
        self.sent = sent
        self.first = None
        self.is_prompt_read = False
