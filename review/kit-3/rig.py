"""A small deployment on loopback addresses for the scripts of this review.

It starts the gateways with the command of the deploy file, and beside them small stand-ins that do
what PROTOCOL.md says: the platform's store, workers, clients, and links between the gateways that
can be cut. Python's standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def deploy_command():
    """The gateway's command in the deploy file, split at spaces."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    return re.search(r'^run = "(.*)"$', text, re.M).group(1).split(" ")


def free_net():
    """The first three numbers of a loopback net that nobody listens on."""
    return "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))


def config_of(routes, services, version, idle_timeout="15000ms", tenants=None):
    """A configuration as the operator writes it."""
    config = {
        "version": version,
        "routes": {
            "columns": ["name", "host", "path-prefix", "kind", "timeout", "target-latency",
                        "priority", "service", "attempts", "public", "allowed-regions",
                        "traffic-split"],
            "rows": routes,
        },
        "services": {
            "columns": ["name", "health-path", "max-connections", "protocol", "tls", "warmup",
                        "warmup-per-s"],
            "rows": [[it, "/healthz", 240, "h1", False, "3s", 8.2] for it in services],
        },
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                   "header-timeout": "3000ms", "idle-timeout": idle_timeout},
    }
    if tenants is not None:
        config["tenants"] = {
            "columns": ["name", "api-keys", "priority", "rate-per-s", "burst", "allowed-regions"],
            "rows": tenants,
        }
    return config


def finish(rig, play, script):
    """Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case
    could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def on_signal(_number, _frame):
        rig.stop()
        os._exit(2)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    try:
        code = 1 if asyncio.run(rig.guard(play(rig, trouble))) else 0
    except (OSError, RuntimeError, asyncio.TimeoutError) as error:
        print("could not run:", repr(error))
        code = 2
    finally:
        rig.stop()
    rig.write_record(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"))
    sys.stdout.flush()
    os._exit(code)


class Http:
    """Reads and writes HTTP/1.1 messages on a stream."""

    @staticmethod
    async def read(reader):
        """Returns (first line, headers in lower case, body), or None at the end."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        body = b""
        try:
            if "content-length" in headers:
                body = await reader.readexactly(int(headers["content-length"]))
            elif headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readline()).split(b";")[0], 16)
                    body += (await reader.readexactly(size + 2))[:size]
                    if size == 0:
                        break
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return lines[0], headers, body

    @staticmethod
    def response(status, headers=(), body=b""):
        """The bytes of a response."""
        lines = ["HTTP/1.1 %d X" % status]
        lines += ["%s: %s" % it for it in headers]
        lines.append("Content-Length: %d" % len(body))
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: keyed topics, of which the newest record of each key is kept."""

    def __init__(self, rig):
        self.rig = rig
        self.topics = {}
        self.ends = {}

    def put(self, topic, key, value):
        """Appends a record; an empty value drops the key."""
        end = self.ends.get(topic, 0)
        records = self.topics.setdefault(topic, {})
        if value:
            records[key] = (value, end)
        else:
            records.pop(key, None)
        self.ends[topic] = end + 1
        return end

    def answer(self, target, body):
        """The response to one call."""
        path, _, query = target.partition("?")
        fields = dict(it.partition("=")[::2] for it in query.split("&"))
        topic = fields.get("topic", "")
        json_type = [("Content-Type", "application/json")]
        if path == "/log-append":
            first = self.ends.get(topic, 0)
            at = 0
            while at < len(body):
                size = int.from_bytes(body[at : at + 4], "big")
                record = body[at + 4 : at + 4 + size]
                at += 4 + size
                key = record[1 : 1 + record[0]].decode()
                self.put(topic, key, self.rig.on_append(topic, key, record[1 + record[0] :]))
            text = json.dumps({"offset": first, "end": self.ends.get(topic, 0)})
            return Http.response(200, json_type, text.encode())
        if path == "/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(self.topics.get(topic, {}).items())
            ]
            text = json.dumps({"items": items, "more": False, "end": self.ends.get(topic, 0)})
            return Http.response(200, json_type, text.encode())
        return Http.response(404)

    async def serve(self, reader, writer):
        """Serves one connection."""
        while True:
            message = await Http.read(reader)
            if message is None:
                break
            await asyncio.sleep(0.004)
            writer.write(self.answer(message[0].split(" ")[1], message[2]))
        writer.close()


class Worker:
    """A worker of one service, with slots and a queue, that records what it runs."""

    def __init__(self, rig, name, host, service, slots=8, queue=16, work_s=0.02):
        self.rig = rig
        self.name = name
        self.host = host
        self.service = service
        self.slots = asyncio.Semaphore(slots)
        self.limit = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"

    def entry(self):
        """What it says of itself in the store."""
        self.sequence += 1
        return json.dumps(
            {
                "address": "%s:%d" % (self.host, self.rig.worker_port),
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.rig.zone,
                    "concurrency-limit": self.limit,
                },
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "warmup-left": "0ms",
                },
            }
        ).encode()

    def signs(self):
        """Headers of all its responses."""
        return [("Masticwall-Server-Load", "%d,%d,%d" % (self.running, self.waiting, self.limit))]

    async def respond(self, line, headers, body):
        """The bytes that answer a request."""
        method, target, _ = line.split(" ")
        if target == "/healthz":
            return Http.response(200, self.signs() + [("Masticwall-Instance-Id", self.name)])
        ident = headers.get("masticwall-request-id", "")
        echo = [("Masticwall-Request-Id", ident)]
        expected = headers.get("masticwall-expected-instance")
        if expected is not None and expected != self.name:
            return Http.response(421, echo + [("Masticwall-Instance-Id", self.name)])
        if self.running >= self.limit and self.waiting >= self.queue:
            return Http.response(503, echo + self.signs() + [("Masticwall-Not-Executed", "1")])
        self.waiting += 1
        await self.slots.acquire()
        self.waiting -= 1
        self.running += 1
        self.rig.on_run(self, ident, method, target, headers, body)
        await asyncio.sleep(self.work_s)
        self.running -= 1
        self.slots.release()
        signature = [("Masticwall-Server-Signature", "sig-" + ident)]
        return Http.response(200, echo + signature + self.signs(), self.content(ident, target))

    def content(self, ident, target):
        """The body of a success."""
        return ("ran %s %s" % (ident, target)).encode()

    async def serve(self, reader, writer):
        """Serves one connection."""
        while True:
            message = await Http.read(reader)
            if message is None:
                break
            writer.write(await self.respond(*message))
        writer.close()


class Link:
    """What stands between the gateways and one of them: it passes bytes on, or holds them."""

    def __init__(self, rig, index):
        self.rig = rig
        self.index = index

    async def pump(self, reader, writer, source):
        """Passes bytes on while the two gateways are not cut from each other."""
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                while self.rig.is_cut(self.index, source):
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def serve(self, reader, writer):
        """Passes one connection on."""
        source = None
        for _ in range(20):
            source = self.rig.owner_of(writer.get_extra_info("peername"))
            if source is not None:
                break
            await asyncio.sleep(0.005)  # a list in /proc may miss a line while it changes
        if source is None:
            writer.transport.abort()  # closed again, or it can't be told whether it is cut
            return
        self.rig.note("link from gateway %s to gateway %d" % (source, self.index))
        while self.rig.is_cut(self.index, source):
            await asyncio.sleep(0.01)
        try:
            up_reader, up_writer = await asyncio.open_connection(
                self.rig.gateway_host(self.index), self.rig.peer_port
            )
        except ConnectionError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.pump(reader, up_writer, source), self.pump(up_reader, writer, source)
        )


class Rig:
    """The deployment."""

    front_port = 8381
    peer_port = 8382
    ready_port = 8388
    store_port = 8384
    worker_port = 9000

    def __init__(self, gateways, zone="khomas-a", region="khomas", bounds="", memory_mb=260):
        self.memory_mb = memory_mb
        self.net = free_net()
        self.zone = zone
        self.region = region
        self.bounds = bounds
        self.count = gateways
        self.folder = tempfile.mkdtemp(prefix="masticwall-review-")
        self.processes = [None] * gateways
        self.logs = []
        self.workers = []
        self.store = Store(self)
        self.servers = []
        self.cut = set()
        self.runs = []
        self.started_at = time.monotonic()
        self.record = []
        self.config = None

    async def guard(self, played):
        """Runs a case, for 110 s at most, without a word on the connections that are left."""
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return await asyncio.wait_for(played, 110)

    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    def draw(self):
        """A random number from 0 to 1."""
        return random.random()

    def note(self, text):
        """Adds a line to the record."""
        self.record.append("%8.3f %s" % (self.now(), text))

    # Addresses
    def gateway_host(self, index):
        """Where a gateway listens."""
        return "%s.%d" % (self.net, 10 + index)

    def link_host(self, index):
        """Where the other gateways reach it."""
        return "%s.%d" % (self.net, 60 + index)

    def is_cut(self, target, source):
        """Whether no bytes pass between two gateways now."""
        return (target in self.cut) != (source in self.cut)

    def owner_of(self, address):
        """The index of the gateway that has opened a connection, by its process's sockets."""
        wanted = "%08X:%04X" % (
            int.from_bytes(socket.inet_aton(address[0]), "little"),
            address[1],
        )
        inode = None
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file:
                fields = line.split()
                if fields[1] == wanted:
                    inode = fields[9]
                    break
        for index, process in enumerate(self.processes):
            if process is None or process.poll() is not None:
                continue
            folder = "/proc/%d/fd" % process.pid
            for name in os.listdir(folder):
                try:
                    if os.readlink(os.path.join(folder, name)) == "socket:[%s]" % inode:
                        return index
                except OSError:
                    continue
        return None

    # What the stand-ins report
    def on_append(self, topic, key, value):
        """Members are reached through their links, as an address translation would do it."""
        if topic == "keyed.members" and value:
            member = json.loads(value)
            index = int(member["host"].split(".")[3]) - 10
            member["host"] = self.link_host(index)
            value = json.dumps(member).encode()
        return value

    def on_run(self, worker, ident, method, target, headers, body):
        """A worker has begun to work on a request."""
        self.runs.append((self.now(), ident, worker.name, headers))
        self.note("run %s at %s" % (ident, worker.name))

    # Starting
    async def listen(self, serve, host, port):
        """Starts a stand-in's server."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Segments and windows as between machines, not those of the loopback interface.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        listener.bind((host, port))
        listener.listen(512)
        self.servers.append(await asyncio.start_server(serve, sock=listener))

    async def start(self, config, workers):
        """Starts all, and waits until each gateway is ready."""
        await self.listen(self.store.serve, self.net + ".2", self.store_port)
        for index in range(self.count):
            await self.listen(Link(self, index).serve, self.link_host(index), self.peer_port)
        self.workers = workers
        for worker in workers:
            await self.listen(worker.serve, worker.host, self.worker_port)
            self.store.put("keyed.servers", worker.name, worker.entry())
        self.beats = asyncio.create_task(self.beat())
        self.put_config(config)
        for index in range(self.count):
            self.start_gateway(index)
        for index in range(self.count):
            for _ in range(100):
                if await self.is_ready(index):
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError("gateway %d isn't ready" % index)

    def put_config(self, config):
        """The operator writes a configuration."""
        self.config = config
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.note("config version %d acknowledged" % config["version"])

    async def beat(self):
        """The workers write their entries every heartbeat."""
        while True:
            await asyncio.sleep(1.5)
            for worker in self.workers:
                self.store.put("keyed.servers", worker.name, worker.entry())

    async def is_ready(self, index):
        """Asks a gateway as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(
                self.gateway_host(index), self.ready_port
            )
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(Http.read(reader), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return message is not None and message[0].split(" ")[1] == "200"

    def settings(self, index):
        """The settings file of one gateway."""
        host = self.gateway_host(index)
        seeds = ",".join(
            '"%s:%d"' % (self.link_host(i), self.peer_port) for i in range(min(3, self.count))
        )
        return """[self]
node = "front-%(zone)s-%(index)d"
role = "gateway"
machine-class = "front"
serves = ["front","control"]
ip = "%(host)s"
zone = "%(zone)s"
region = "%(region)s"
in-tolerance = false
bootstrap = true
[self.limits]
cpu-share = 0.5
cores = 1
memory-mb = %(memory)d
max-fds = 8192
link-mbps = 200.0
disk-mb = 0
[network]
internal-ports = [7100,7115]
seeds = [%(seeds)s]
[network.listen]
front = "%(host)s:%(front)d"
ready = "%(host)s:%(ready)d"
control = "%(host)s:%(peer)d"
[network.zones]
%(zone)s = "%(region)s"
[platform]
discovery = "platform"
entry = "vip"
heartbeat = "1500ms"
[platform.platform]
address = "%(net)s.2:%(store)d"
form = "log"
writes-per-s = 1200
reads-per-s = 6000
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","pool","places","tenants","quota","platform"]
[terms.fault-tolerance]
machines = 2
zones = 1
regions = 0
[terms.bounds]
%(bounds)s""" % {
            "zone": self.zone,
            "region": self.region,
            "index": index,
            "host": host,
            "seeds": seeds,
            "front": self.front_port,
            "ready": self.ready_port,
            "peer": self.peer_port,
            "store": self.store_port,
            "net": self.net,
            "memory": self.memory_mb,
            "bounds": self.bounds,
        }

    def start_gateway(self, index):
        """Starts a gateway as the platform does."""
        path = os.path.join(self.folder, "boot-%d.toml" % index)
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(index))
        log = open(os.path.join(self.folder, "log-%d.txt" % index), "ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["MASTICWALL_BOOT"] = path
        command = deploy_command()
        command[0] = os.path.join(ROOT, command[0])
        self.processes[index] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def signal(self, index, number):
        """Sends a signal to one gateway."""
        self.note("signal %s to gateway %d" % (signal.Signals(number).name, index))
        self.processes[index].send_signal(number)

    def log_of(self, index):
        """What a gateway has logged."""
        with open(os.path.join(self.folder, "log-%d.txt" % index), encoding="utf-8") as file:
            return file.read()

    async def call(self, index, method, target, ident, headers=(), body=b"", deadline_ms=2000):
        """One client attempt on a connection of its own: (sent at, status, headers, body)."""
        sent_at = self.now()
        self.note("sent %s to gateway %d: %s %s" % (ident, index, method, target))
        status, answer, content = 0, {}, b""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.gateway_host(index), self.front_port), 1.0
            )
            lines = [
                "%s %s HTTP/1.1" % (method, target),
                "Host: a.example",
                "Masticwall-Request-Id: " + ident,
                "Masticwall-Request-Deadline: %d" % deadline_ms,
                "Content-Length: %d" % len(body),
            ]
            lines += ["%s: %s" % it for it in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await asyncio.wait_for(Http.read(reader), deadline_ms / 1000.0 + 1.0)
            if message is not None:
                status = int(message[0].split(" ")[1])
                answer, content = message[1], message[2]
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        self.note("answer %s: %s" % (ident, status or "none"))
        return sent_at, status, answer, content

    def stop(self):
        """Ends all processes that were started here."""
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS") is None:
            shutil.rmtree(self.folder, ignore_errors=True)

    def write_record(self, path):
        """Writes what was sent, answered and run."""
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.record) + "\n")
