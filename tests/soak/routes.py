"""Routes of the configurations that the soak publishes."""


class Route:
    def __init__(self, name, service, safe, deadline_s):
        self.name = name
        self.service = service
        self.safe = safe
        self.deadline_s = deadline_s
        self.host = "soak.example"
        self.prefix = f"/{name}/"
        self.max_attempts = 2

    def resource(self):
        """The route's entry in a configuration."""
        spec = {"host": self.host, "path_prefix": self.prefix,
                "kind": "safe" if self.safe else "unsafe",
                "timeout": f"{int(self.deadline_s * 1000)}ms",
                "target_latency": f"{int(self.deadline_s * 300)}ms", "priority": 1,
                "service": self.service, "max_attempts": self.max_attempts}
        return {"resource_kind": "routes", "metadata": {"name": self.name}, "spec": spec}
