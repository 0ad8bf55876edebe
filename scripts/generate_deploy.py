"""Writes the files of the deployments; called by scripts/generate-deploy."""
import os

CONTROL_PEER, CONTROL_HTTP = 7100, 7180
GATEWAY_PEER, GATEWAY_HTTP = 7200, 7280
ENGINE_PORT, PLAIN_PORT = 9000, 9100
STORE_PORT, SCORER_PORT, MACHINES_PORT, LINK_PORT = 9200, 9201, 9202, 9300
CLIENT_PORT = 8280

DEPLOYMENTS = [
    {
        "name": "association", "net": 1,
        "title": "The wedding photographers' association in Dar es Salaam.",
        "zones": ["dar-kariakoo", "dar-msasani", "dar-kurasini"],
        "short": ["kariakoo", "msasani", "kurasini"],
        "zone_ms": 0.5, "client_ms": 1.0,
        "engines": [3, 3, 2], "plain": [1, 1, 1],
        "model": "caption", "plain_service": "gallery", "stream": "caption-rounds",
        "pool": "caption-rollouts", "idle_time_weight": 0.9, "staleness_bound": 2,
        "groups": [
            ("gallery-pages", "page", "gallery.example", "/gallery", True, 2, 10),
            ("album-lookups", "lookup", "lookup.example", "/lookup", True, 2, 8),
            ("round-corrections", "booking", "corrections.example", "/corrections", False, 3, 4),
        ],
    },
    {
        "name": "khosa", "net": 2,
        "title": "KHOSA, heating oil deliveries from Nairobi.",
        "zones": ["nbo-a", "nbo-b", "nbo-c"],
        "short": ["a", "b", "c"],
        "zone_ms": 1.5, "client_ms": 3.0,
        "engines": [3, 3, 3], "plain": [2, 1, 1],
        "model": "routing", "plain_service": "booking", "stream": "dispatch-drafts",
        "pool": "dispatch-rollouts", "idle_time_weight": 0.1, "staleness_bound": 1,
        "groups": [
            ("delivery-pages", "page", "deliveries.example", "/deliveries", True, 2, 8),
            ("tank-lookups", "lookup", "tanks.example", "/tanks", True, 2, 6),
            ("delivery-bookings", "booking", "booking.example", "/book", False, 3, 6),
        ],
    },
]


def write(path, text):
    os.makedirs(os.path.dirname(path), exist_ok=True)
    with open(path, "w") as out:
        out.write(text)


class Deployment:
    def __init__(self, table):
        self.__dict__.update(table)
        self.root = f"deploy/{self.name}"

    def ip(self, zone, host):
        return f"127.{self.net}.{zone}.{host}"

    def platform(self, port):
        return f"{self.ip(0, 1)}:{port}"

    def via(self, source, target, host):
        """Relay address through which zone `source` reaches `host` of zone `target`."""
        return f"127.{self.net}.{100 + 10 * source + target}.{host}"

    def control(self, z):
        return f"control-{self.short[z - 1]}"

    def gateway(self, z):
        return f"gateway-{self.short[z - 1]}"

    def engine_hosts(self, z):
        return [10 + i for i in range(1, self.engines[z - 1] + 1)]

    def plain_hosts(self, z):
        return [30 + i for i in range(1, self.plain[z - 1] + 1)]

    def engine_name(self, z, host):
        return f"{self.model}-{self.short[z - 1]}-{host - 10}"

    def plain_name(self, z, host):
        return f"{self.plain_service}-{self.short[z - 1]}-{host - 30}"

    def listeners(self, z):
        """Host and port of each listener in zone `z` that other zones connect to."""
        yield 1, CONTROL_PEER
        yield 2, GATEWAY_PEER
        for host in self.engine_hosts(z):
            yield host, ENGINE_PORT
        for host in self.plain_hosts(z):
            yield host, PLAIN_PORT

    def routes(self, z):
        for target in (1, 2, 3):
            if target == z:
                continue
            for host, port in self.listeners(target):
                yield f"{self.ip(target, host)}:{port}", f"{self.via(z, target, host)}:{port}"

    def settings(self, z, gateway):
        host = 2 if gateway else 1
        name = self.gateway(z) if gateway else self.control(z)
        peer = GATEWAY_PEER if gateway else CONTROL_PEER
        http = GATEWAY_HTTP if gateway else CONTROL_HTTP
        text = f"""# {self.title} Written by scripts/generate-deploy.
node: {name}
zone: {self.zones[z - 1]}
cluster: {self.name}
roles: [{"gateway" if gateway else "control"}]
peer:
  listen: "{self.ip(z, host)}:{peer}"
http:
  listen: "{self.ip(z, host)}:{http}"
control_nodes:
"""
        for other in (1, 2, 3):
            text += (f"  - {{node: {self.control(other)}, "
                     f"address: \"{self.ip(other, 1)}:{CONTROL_PEER}\", "
                     f"zone: {self.zones[other - 1]}}}\n")
        if not gateway:
            text += f"data: /var/lib/millstair/{name}\n"
            text += f"platform:\n  list: \"{self.platform(MACHINES_PORT)}\"\n"
        text += "# Other zones are reached through the links between the zones.\nroutes:\n"
        for to, via in self.routes(z):
            text += f"  - \"{to}={via}\"\n"
        return name, text

    def resources(self):
        machines, engines = [], []
        for z in (1, 2, 3):
            zone = self.zones[z - 1]
            for host in self.engine_hosts(z) + self.plain_hosts(z):
                plain = host > 30
                name = self.plain_name(z, host) if plain else self.engine_name(z, host)
                service = self.plain_service if plain else self.model
                port = PLAIN_PORT if plain else ENGINE_PORT
                machines.append(f"kind: Machine\nname: machine-{name}\nlabels: {{zone: {zone}}}\n"
                                f"spec: {{zone: {zone}, address: {self.ip(z, host)}}}\n")
                kind = "http" if plain else "model"
                engines.append(f"kind: Engine\nname: {name}\nlabels: {{service: {service}}}\n"
                               f"spec: {{type: {kind}, machine: machine-{name}, "
                               f"address: \"{self.ip(z, host)}:{port}\"}}\n")
        write(f"{self.root}/resources/machines.yaml", "---\n".join(machines))
        write(f"{self.root}/resources/engines.yaml", "---\n".join(engines))
        write(f"{self.root}/resources/models.yaml", f"""kind: Model
name: {self.model}
labels: {{service: {self.model}}}
spec:
  weight_store: "{self.platform(STORE_PORT)}"
  store_bytes_per_second: 400MiB
  version_bytes: 48MiB
  live_capacity_floor: 0.5
---
kind: Pool
name: {self.pool}
labels: {{service: {self.model}}}
spec: {{model: {self.model}, share: 1.0, max_in_flight: 96}}
---
kind: Stream
name: {self.stream}
labels: {{service: {self.model}}}
spec:
  pool: {self.pool}
  staleness_bound: {self.staleness_bound}
  # 1 weighs only trainer idle time, 0 only staleness.
  idle_time_weight: {self.idle_time_weight}
  max_tokens: 96
  scorer: "{self.platform(SCORER_PORT)}"
""")
        groups = [f"""kind: TrafficGroup
name: {self.model}-completions
labels: {{service: {self.model}}}
spec:
  path_prefix: /v1
  model: {self.model}
  priority: 2
  deadline: 30s
"""]
        for name, _, host, path, repeatable, priority, _ in self.groups:
            groups.append(f"""kind: TrafficGroup
name: {name}
labels: {{service: {self.plain_service}}}
spec:
  hosts: [{host}]
  path_prefix: {path}
  repeatable: {str(repeatable).lower()}
  priority: {priority}
  deadline: 20s
""")
        write(f"{self.root}/resources/traffic.yaml", "---\n".join(groups))
        write(f"{self.root}/resources/matches.yaml", f"""kind: Match
name: {self.model}-serving
spec:
  workloads: {{match_labels: {{service: {self.model}}}}}
  models: {{match_labels: {{service: {self.model}}}}}
  engines: {{match_labels: {{service: {self.model}}}}}
---
kind: Match
name: {self.plain_service}-serving
spec:
  workloads: {{match_labels: {{service: {self.plain_service}}}}}
  engines: {{match_labels: {{service: {self.plain_service}}}}}
""")

    def processes(self):
        """One process per line: name, program, arguments. The demo starts them in this order."""
        lines = [f"store millstair-emulator store --listen {self.platform(STORE_PORT)} "
                 "--bytes-per-second 400000000 --version-bytes 50000000",
                 f"scorer millstair-emulator scorer --listen {self.platform(SCORER_PORT)} --delay-ms 20"]
        machines = f"machines millstair-emulator machines --listen {self.platform(MACHINES_PORT)} --lag-ms 3000"
        link = f"link millstair-emulator link --listen {self.platform(LINK_PORT)}"
        for z in (1, 2, 3):
            for host in self.engine_hosts(z):
                machines += f" --machine {self.ip(z, host)}"
                lines.append(f"{self.engine_name(z, host)} millstair-emulator engine --listen "
                             f"{self.ip(z, host)}:{ENGINE_PORT} --store {self.platform(STORE_PORT)} "
                             "--step-base-us 8000 --step-per-sequence-us 150 --activate-ms 200")
            for host in self.plain_hosts(z):
                machines += f" --machine {self.ip(z, host)}"
                lines.append(f"{self.plain_name(z, host)} millstair-emulator plain --listen "
                             f"{self.ip(z, host)}:{PLAIN_PORT} --name {self.plain_name(z, host)}")
            client = f"{self.ip(0, 10 + z)}:{CLIENT_PORT}"
            link += (f" --relay {client},{self.ip(z, 2)}:{GATEWAY_HTTP},{self.client_ms},"
                     f"clients/{self.zones[z - 1]}/gateway")
            for target in (1, 2, 3):
                if target == z:
                    continue
                for host, port in self.listeners(target):
                    link += (f" --relay {self.via(z, target, host)}:{port},"
                             f"{self.ip(target, host)}:{port},{self.zone_ms},"
                             f"{self.zones[z - 1]}/{self.zones[target - 1]}/{host}-{port}")
        lines += [machines, link]
        write(f"{self.root}/processes.txt", "\n".join(lines) + "\n")
        nodes = []
        for z in (1, 2, 3):
            nodes.append(f"{self.control(z)} millstaird --settings {self.root}/settings/{self.control(z)}.yaml")
        for z in (1, 2, 3):
            nodes.append(f"{self.gateway(z)} millstaird --settings {self.root}/settings/{self.gateway(z)}.yaml")
        write(f"{self.root}/nodes.txt", "\n".join(nodes) + "\n")

    def fleet(self):
        text = f"""# What scripts/demo drives. Written by scripts/generate-deploy.
deployment: {self.name}
model: {self.model}
stream: {self.stream}
staleness_bound: {self.staleness_bound}
samples_per_step: 24
max_tokens: 96
train_time: 1500ms
completion_rate: 10
link_control: "{self.platform(LINK_PORT)}"
zones: [{", ".join(self.zones)}]
nodes:
"""
        for z in (1, 2, 3):
            text += (f"  - {{name: {self.control(z)}, zone: {self.zones[z - 1]}, "
                     f"address: \"{self.ip(z, 1)}:{CONTROL_HTTP}\"}}\n")
            text += (f"  - {{name: {self.gateway(z)}, zone: {self.zones[z - 1]}, gateway: true, "
                     f"address: \"{self.ip(z, 2)}:{GATEWAY_HTTP}\", "
                     f"client_address: \"{self.ip(0, 10 + z)}:{CLIENT_PORT}\"}}\n")
        text += "engines:\n"
        for z in (1, 2, 3):
            for host in self.engine_hosts(z):
                text += f"  - {{name: {self.engine_name(z, host)}, address: \"{self.ip(z, host)}:{ENGINE_PORT}\"}}\n"
        text += "plain_servers:\n"
        for z in (1, 2, 3):
            for host in self.plain_hosts(z):
                text += f"  - {{name: {self.plain_name(z, host)}, address: \"{self.ip(z, host)}:{PLAIN_PORT}\"}}\n"
        text += "traffic:\n"
        for _, kind, host, path, _, _, rate in self.groups:
            text += f"  - {{kind: {kind}, host: {host}, path: {path}, rate: {rate}}}\n"
        write(f"{self.root}/fleet.yaml", text)

    def write_all(self):
        for z in (1, 2, 3):
            for gateway in (False, True):
                name, text = self.settings(z, gateway)
                write(f"{self.root}/settings/{name}.yaml", text)
        self.resources()
        self.processes()
        self.fleet()
        controls = ", ".join(f'"{self.ip(z, 1)}:{CONTROL_HTTP}"' for z in (1, 2, 3))
        write(f"{self.root}/millstairctl.yaml", f"servers: [{controls}]\n")


for table in DEPLOYMENTS:
    Deployment(table).write_all()
