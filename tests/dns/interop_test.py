"""Tests the name server and the zone file parser against dnspython.

Queries, signed updates and transfers are tested in both directions, and both programs
parse the corpus. The server is killed a hundred times while updates arrive, and a
secondary follows a primary through injected faults.
"""

import base64
import itertools
import os
import pathlib
import random
import shutil
import socket
import struct
import subprocess
import tempfile
import threading
import time
import unittest

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.query
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.renderer
import dns.tsig
import dns.tsigkeyring
import dns.update
import dns.xfr
import dns.zone

PROGRAM = os.environ["BRASSFRONT"]
CORPUS = pathlib.Path(__file__).parent / "corpus"
SECRET = base64.b64encode(b"0123456789abcdef0123456789abcdef").decode()
KEYS = dns.tsigkeyring.from_text(
    {"writer.": SECRET, "reader.": SECRET, "stranger.": SECRET}
)
KILLS = int(os.environ.get("BRASSFRONT_KILLS", "100"))

ZONE = """$TTL 60
@ SOA ns host 1 2 1 30 5
@ NS ns
ns A 192.0.2.1
www A 192.0.2.2
www A 192.0.2.3
text TXT "some text" more
_s._tcp SRV 1 2 80 www
alias CNAME www
big HTTPS 1 . alpn=h2 port=8443
"""

SETTINGS = """
keys: [
  {name: "writer.", secret: "%(secret)s"},
  {name: "reader.", secret: "%(secret)s"},
  {name: "large.", algorithm: "hmac-sha512", secret: "%(secret)s"},
]
grants: [
  {key: "writer.", top: "example.", update: true, transfer: true},
  {key: "reader.", top: "example.", transfer: true},
  {key: "large.", top: "sub.example.", types: ["A"], update: true},
]
""" % {
    "secret": SECRET
}


def wait_for(condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False


class Server:
    """A `zone serve` process with its own folder."""

    def __init__(self, folder, zones, more="", listen="127.0.0.1:0"):
        self.folder = pathlib.Path(folder)
        self.file = self.folder / "server.records"
        self.zones, self.more = zones, more
        self.port = int(listen.rsplit(":")[1])
        self.process = None
        self.start()

    def start(self):
        self.file.write_text(
            f'listen: "127.0.0.1:{self.port}"\nzones: [{self.zones}]\n'
            f"{SETTINGS}\n{self.more}\n"
        )
        self.log = open(self.folder / "log", "a")
        self.process = subprocess.Popen(
            [PROGRAM, "zone", "serve", str(self.file), "--log-level", "debug"],
            stdout=subprocess.PIPE,
            stderr=self.log,
            text=True,
        )
        line = self.process.stdout.readline()
        if not line.startswith("serving on "):
            raise RuntimeError(
                f"server did not start: {line} {(self.folder / 'log').read_text()}"
            )
        self.port = int(line.rsplit(":")[1])

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        self.log.close()

    def stop(self):
        self.process.terminate()
        code = self.process.wait(20)
        self.process.stdout.close()
        self.log.close()
        return code

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def ask(self, name, rdtype="A", tcp=False, **more):
        query = dns.message.make_query(name, rdtype, **more)
        by = dns.query.tcp if tcp else dns.query.udp
        return by(query, "127.0.0.1", port=self.port, timeout=10)

    def serial(self):
        answer = self.ask("example.", "SOA")
        return answer.answer[0][0].serial if answer.answer else None

    def update(self, key="writer.", algorithm=dns.tsig.HMAC_SHA256, keys=KEYS):
        return dns.update.UpdateMessage(
            "example.", keyring=keys, keyname=key, keyalgorithm=algorithm
        )

    def send(self, update, tcp=True):
        by = dns.query.tcp if tcp else dns.query.udp
        return by(update, "127.0.0.1", port=self.port, timeout=10)

    def transfer(self, zone=None, key="reader.", serial=None):
        """Transfers into the zone; requests an IXFR if a serial is given."""
        zone = zone or dns.zone.Zone("example.", relativize=False)
        query, _ = dns.xfr.make_query(
            zone,
            serial=serial if serial is not None else 0,
            keyring=KEYS,
            keyname=key,
            keyalgorithm=dns.tsig.HMAC_SHA256,
        )
        if serial is None:
            query, _ = dns.xfr.make_query(
                dns.zone.Zone("example."),
                keyring=KEYS,
                keyname=key,
                keyalgorithm=dns.tsig.HMAC_SHA256,
            )
        dns.query.inbound_xfr("127.0.0.1", zone, query, port=self.port, timeout=10)
        return zone


def records_of(zone):
    """Returns each record as text, with absolute names in lower case."""
    out = set()
    for name, ttl, rdata in zone.iterate_rdatas():
        text = rdata.to_generic(zone.origin).to_text()
        if rdata.rdtype in (dns.rdatatype.CNAME, dns.rdatatype.NS, dns.rdatatype.SOA):
            text = rdata.to_text(zone.origin, relativize=False).lower()
        owner = name.derelativize(zone.origin).to_text().lower()
        out.add((owner, ttl, dns.rdatatype.to_text(rdata.rdtype), text))
    return out


class TestCase(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp(prefix="brassfront-dns-")
        self.addCleanup(shutil.rmtree, self.folder)
        self.servers = []

    def tearDown(self):
        for server in self.servers:
            if server.process.poll() is None:
                self.assertEqual(server.stop(), 0)

    def serve(
        self,
        zones='{name: "example.", file: "example.zone", folder: "kept"}',
        more="",
        name="primary",
        zone=ZONE,
        listen="127.0.0.1:0",
    ):
        folder = pathlib.Path(self.folder) / name
        folder.mkdir()
        if zone:
            (folder / "example.zone").write_text(zone)
        server = Server(folder, zones, more, listen)
        self.servers.append(server)
        return server

    def run_program(self, *words, input=None):
        return subprocess.run(
            [PROGRAM, "zone", *map(str, words)],
            input=input,
            text=True,
            capture_output=True,
            timeout=60,
        )


class Corpus(TestCase):
    def test_both_parsers_agree(self):
        # Where dnspython differs from RFC 1035 §5.1: a class before the TTL, an omitted
        # TTL (the last explicit one applies), and an $ORIGIN without a trailing dot.
        other = {"class-then-ttl", "no-default-ttl", "origin-relative"}
        count = 0
        for kind in ("good", "bad"):
            for file in sorted((CORPUS / kind).iterdir()):
                count += 1
                with self.subTest(file=file.name):
                    ours = self.run_program("show", file, "--origin", "example.")
                    self.assertEqual(
                        ours.returncode, 0 if kind == "good" else 1, ours.stderr
                    )
                    if kind == "bad":
                        self.assertIn(str(file), ours.stderr)
                    if file.stem in other:
                        continue
                    try:
                        theirs = dns.zone.from_file(
                            str(file), "example.", relativize=False
                        )
                    except Exception as fault:  # dnspython raises many kinds
                        theirs = None
                        self.assertEqual(
                            kind, "bad", f"dnspython refuses the file: {fault!r}"
                        )
                    if kind == "good":
                        again = dns.zone.from_text(
                            ours.stdout, "example.", relativize=False
                        )
                        self.assertEqual(records_of(again), records_of(theirs))
                    else:
                        self.assertIsNone(theirs, "dnspython accepts the file")
        self.assertGreaterEqual(count, 60)


class Queries(TestCase):
    def test_dnspython_parses_the_answers(self):
        server = self.serve()
        answer = server.ask("WWW.example.")
        self.assertTrue(answer.flags & dns.flags.AA)
        self.assertEqual(
            sorted(r.address for r in answer.answer[0]), ["192.0.2.2", "192.0.2.3"]
        )
        self.assertEqual(
            server.ask("alias.example.").answer[0][0].to_text(), "www.example."
        )
        self.assertEqual(
            server.ask("text.example.", "TXT").answer[0][0].strings,
            (b"some text", b"more"),
        )
        service = server.ask("_s._tcp.example.", "SRV", tcp=True)
        self.assertEqual(service.answer[0][0].port, 80)
        self.assertEqual(len(service.additional[0]), 2)
        self.assertEqual(
            server.ask("big.example.", "HTTPS").answer[0][0].to_text(),
            '1 . alpn="h2" port="8443"',
        )
        gone = server.ask("gone.example.")
        self.assertEqual(gone.rcode(), dns.rcode.NXDOMAIN)
        self.assertEqual(gone.authority[0].rdtype, dns.rdatatype.SOA)
        self.assertEqual(server.ask("other.").rcode(), dns.rcode.REFUSED)
        self.assertEqual(server.ask("www.example.", use_edns=0, payload=1232).edns, 0)

    def test_an_answer_too_long_for_udp_is_requested_again_over_tcp(self):
        lines = "".join(f"many A 10.0.{n // 250}.{n % 250}\n" for n in range(200))
        server = self.serve(zone=ZONE + lines)
        cut = server.ask("many.example.")
        self.assertTrue(cut.flags & dns.flags.TC)
        self.assertLessEqual(len(cut.to_wire()), 512)
        whole, by_tcp = dns.query.udp_with_fallback(
            dns.message.make_query("many.example.", "A"),
            "127.0.0.1",
            port=server.port,
            timeout=10,
        )
        self.assertTrue(by_tcp)
        self.assertEqual(len(whole.answer[0]), 200)
        ours = self.run_program("query", server.address, "many.example.")
        self.assertEqual(ours.stdout.count("answer many.example."), 200)

    def test_a_stream_may_contain_many_queries_in_any_chunks(self):
        server = self.serve()
        with socket.create_connection(("127.0.0.1", server.port), timeout=10) as stream:
            queries = [dns.message.make_query("www.example.", "A") for _ in range(20)]
            raw = b"".join(
                struct.pack("!H", len(q.to_wire())) + q.to_wire() for q in queries
            )
            for at in range(0, len(raw), 7):
                stream.sendall(raw[at : at + 7])
            for query in queries:
                answer, _ = dns.query.receive_tcp(stream, time.time() + 10)
                self.assertEqual(answer.id, query.id)

    def test_the_server_survives_garbage_and_floods(self):
        server = self.serve()
        chance = random.Random(5)
        good = dns.message.make_query("www.example.", "A").to_wire()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(3000):
                packet = bytearray(good)
                for _ in range(chance.randrange(6)):
                    packet[chance.randrange(len(packet))] = chance.randrange(256)
                sender.sendto(
                    bytes(packet[: chance.randrange(len(packet) + 1)]),
                    ("127.0.0.1", server.port),
                )
        for _ in range(50):
            with socket.create_connection(
                ("127.0.0.1", server.port), timeout=10
            ) as stream:
                stream.sendall(chance.randbytes(200))
        self.assertTrue(wait_for(lambda: self.answers(server)))
        self.assertEqual(server.serial(), 1)

    def answers(self, server):
        try:
            return len(server.ask("www.example.").answer) == 1
        except dns.exception.Timeout:
            return False


class Updates(TestCase):
    def test_signed_updates_by_udp_and_tcp(self):
        server = self.serve()
        for tcp in (False, True):
            update = server.update()
            update.add(f"new{tcp:d}", 60, "A", "192.0.2.9")
            answer = server.send(update, tcp)
            self.assertEqual(answer.rcode(), dns.rcode.NOERROR)
            self.assertTrue(answer.had_tsig)
            self.assertEqual(
                server.ask(f"new{tcp:d}.example.").answer[0][0].address, "192.0.2.9"
            )
        self.assertEqual(server.serial(), 3)
        update = server.update()
        update.present("www", "A", "192.0.2.2")
        update.delete("new0")
        self.assertEqual(server.send(update).rcode(), dns.rcode.NXRRSET)
        update = server.update()
        update.present("www", "A")
        update.absent("gone")
        update.replace("www", 30, "A", "192.0.2.77")
        update.delete("text", "TXT")
        self.assertEqual(server.send(update).rcode(), dns.rcode.NOERROR)
        self.assertEqual(
            [r.address for r in server.ask("www.example.").answer[0]], ["192.0.2.77"]
        )
        self.assertEqual(server.ask("text.example.", "TXT").rcode(), dns.rcode.NXDOMAIN)

    def test_unauthorized_updates_are_refused(self):
        server = self.serve()
        update = dns.update.UpdateMessage("example.")
        update.add("x", 60, "A", "192.0.2.9")
        self.assertEqual(server.send(update).rcode(), dns.rcode.REFUSED)
        update = server.update("reader.")
        update.add("x", 60, "A", "192.0.2.9")
        self.assertEqual(server.send(update).rcode(), dns.rcode.REFUSED)
        update = server.update("stranger.")
        update.add("x", 60, "A", "192.0.2.9")
        with self.assertRaises(dns.tsig.PeerBadKey):
            server.send(update)
        wrong = dns.tsigkeyring.from_text(
            {"writer.": base64.b64encode(b"x" * 32).decode()}
        )
        update = server.update(keys=wrong)
        update.add("x", 60, "A", "192.0.2.9")
        with self.assertRaises(dns.tsig.PeerBadSignature):
            server.send(update)
        large = dns.tsigkeyring.from_text({"large.": SECRET})
        for name, rdtype, data, rcode in (
            ("a.sub", "A", "192.0.2.9", dns.rcode.NOERROR),
            ("a.sub", "TXT", "x", dns.rcode.REFUSED),
            ("a", "A", "192.0.2.9", dns.rcode.REFUSED),
        ):
            update = server.update("large.", dns.tsig.HMAC_SHA512, large)
            update.add(name, 60, rdtype, data)
            self.assertEqual(server.send(update).rcode(), rcode)
        self.assertEqual(server.serial(), 2)

    def test_a_clock_off_by_ten_minutes(self):
        server = self.serve()
        real = time.time
        for off in (-600, 600):
            update = server.update()
            update.add("x", 60, "A", "192.0.2.9")
            time.time = lambda: real() + off
            try:
                wire = update.to_wire()
            finally:
                time.time = real
            with socket.create_connection(
                ("127.0.0.1", server.port), timeout=10
            ) as stream:
                stream.sendall(struct.pack("!H", len(wire)) + wire)
                (length,) = struct.unpack("!H", stream.recv(2, socket.MSG_WAITALL))
                raw = stream.recv(length, socket.MSG_WAITALL)
            self.assertEqual(raw[3] & 15, dns.rcode.NOTAUTH)
            with self.assertRaises(dns.tsig.PeerBadTime):
                dns.message.from_wire(raw, keyring=KEYS, request_mac=update.mac)
        self.assertEqual(server.serial(), 1)

    def test_a_replayed_update_has_no_further_effect(self):
        server = self.serve()
        add = server.update()
        add.add("x", 60, "A", "192.0.2.9")
        wire = add.to_wire()

        def send():
            with socket.create_connection(
                ("127.0.0.1", server.port), timeout=10
            ) as stream:
                stream.sendall(struct.pack("!H", len(wire)) + wire)
                (length,) = struct.unpack("!H", stream.recv(2, socket.MSG_WAITALL))
                return (
                    struct.unpack("!H", stream.recv(length, socket.MSG_WAITALL)[2:4])[0]
                    & 15
                )

        self.assertEqual(send(), dns.rcode.NOERROR)
        remove = server.update()
        remove.delete("x")
        self.assertEqual(server.send(remove).rcode(), dns.rcode.NOERROR)
        self.assertEqual(send(), dns.rcode.NOERROR)
        server.kill()
        server.start()
        self.assertEqual(send(), dns.rcode.NOERROR)
        self.assertEqual(server.ask("x.example.").rcode(), dns.rcode.NXDOMAIN)
        self.assertEqual(server.serial(), 3)

    def test_update_command_and_its_errors(self):
        server = self.serve()
        key = pathlib.Path(self.folder) / "key"
        key.write_text(f'key: {{name: "writer.", secret: "{SECRET}"}}\n')
        common = ("--origin", "example.", "--key", key)
        done = self.run_program(
            "update",
            server.address,
            "require www A",
            "forbid gone",
            'add x 60 TXT "two words" (three)',
            "-",
            *common,
            input="add x 60 A 192.0.2.9\n\ndelete text\n",
        )
        self.assertEqual((done.returncode, done.stdout), (0, "NOERROR\n"), done.stderr)
        self.assertEqual(
            server.ask("x.example.", "TXT").answer[0][0].strings,
            (b"two words", b"three"),
        )
        done = self.run_program(
            "update", server.address, "require gone A", "delete www", *common
        )
        self.assertEqual((done.returncode, done.stdout), (1, "NXRRSET\n"))
        done = self.run_program(
            "update", server.address, "delete www A 192.0.2.2", *common
        )
        self.assertEqual(done.returncode, 0)
        self.assertEqual(len(server.ask("www.example.").answer[0]), 1)
        for step in (
            "put x A 1.2.3.4",
            "add x 60 A",
            "add x 60 A 1.2.3",
            "delete x FOO",
            "forbid x A 1.2.3.4",
            "add x..y 60 A 1.2.3.4",
        ):
            done = self.run_program("update", server.address, step, *common)
            self.assertEqual(done.returncode, 2, step)
            self.assertIn(step, done.stderr)
        self.assertEqual(
            self.run_program("query", "127.0.0.1:1", "x.", "--wait", "50").returncode, 3
        )

    def test_a_hundred_kills_lose_no_confirmed_update(self):
        server = self.serve()
        confirmed = {}
        unconfirmed = {}  # numbers sent since the last confirmed one
        numbers = itertools.count()
        chance = random.Random(11)
        for _ in range(KILLS):

            def send_updates():
                while True:
                    number = next(numbers)
                    k = number % 50
                    update = server.update()
                    update.replace(f"k{k}", 60, "TXT", f'"{number}"')
                    unconfirmed.setdefault(k, []).append(number)
                    try:
                        if server.send(update).rcode() != dns.rcode.NOERROR:
                            return
                    except (OSError, EOFError, dns.exception.DNSException):
                        return
                    confirmed[k] = number
                    unconfirmed[k] = []

            sender = threading.Thread(target=send_updates)
            sender.start()
            time.sleep(0.01 + chance.random() * 0.05)
            server.kill()
            sender.join()
            server.start()
            zone = server.transfer()
            for k, number in confirmed.items():
                held = int(zone.get_rdataset(f"k{k}.example.", "TXT")[0].strings[0])
                self.assertIn(held, [number, *unconfirmed[k]])
        self.assertGreater(len(confirmed), 0)
        self.assertGreater(next(numbers), KILLS)


class Transfers(TestCase):
    def test_full_and_incremental_transfers_to_dnspython(self):
        server = self.serve()
        zone = server.transfer()
        self.assertEqual(
            records_of(zone),
            records_of(dns.zone.from_text(ZONE, "example.", relativize=False)),
        )
        for n in range(30):
            update = server.update()
            update.add(f"n{n}", 60, "A", "192.0.2.9")
            update.delete(f"n{n - 3}")
            self.assertEqual(server.send(update).rcode(), dns.rcode.NOERROR)
            if n % 4 == 0:
                server.transfer(zone, serial=zone.get_soa().serial)
        server.transfer(zone, serial=zone.get_soa().serial)
        self.assertEqual(records_of(zone), records_of(server.transfer()))
        refused = dns.message.make_query("example.", "AXFR")
        self.assertEqual(
            dns.query.tcp(refused, "127.0.0.1", port=server.port, timeout=10).rcode(),
            dns.rcode.REFUSED,
        )

    def test_serials_wrap_around(self):
        last = 4294967295
        port = self.free_port()
        primary = self.serve(
            zone=ZONE.replace("host 1 ", f"host {last} "),
            more=f'notify: ["127.0.0.1:{port}"]',
        )
        secondary = self.start_secondary(primary, listen=f"127.0.0.1:{port}")
        zone = primary.transfer()
        self.assertTrue(wait_for(lambda: secondary.serial() == last))
        for n in range(3):
            self.change(primary, f"round{n}")
            self.assertTrue(wait_for(lambda: secondary.serial() == n + 1))
        primary.transfer(zone, serial=last)
        self.assertEqual(records_of(zone), records_of(secondary.transfer()))

    def test_transfers_from_dnspython(self):
        """Transfers from a primary that uses dnspython's renderer and signer."""
        zone = dns.zone.from_text(ZONE, "example.", relativize=False)
        soa = zone.get_rdataset("example.", "SOA")
        records = [
            (n, r) for n, r in zone.iterate_rdatasets() if r.rdtype != dns.rdatatype.SOA
        ]
        old = dns.rdataset.from_text(
            "IN", "SOA", 60, soa[0].to_text().replace(" 1 2 ", " 0 2 ")
        )
        gone = dns.rdataset.from_text("IN", "A", 60, "192.0.2.99")
        new = dns.rdataset.from_text("IN", "A", 60, "192.0.2.2", "192.0.2.3")

        def answer(query):
            origin = dns.name.from_text("example.")
            if query.question[0].rdtype == dns.rdatatype.IXFR:
                www = dns.name.from_text("www.example.")
                parts = [
                    (origin, soa),
                    (origin, old),
                    (www, gone),
                    (origin, soa),
                    (www, new),
                    (origin, soa),
                ]
            else:
                parts = [(origin, soa), *records, (origin, soa)]
            context = None
            for n, (name, rdataset) in enumerate(parts):
                renderer = dns.renderer.Renderer(query.id, 0x8400)
                if n == 0:
                    renderer.add_question(origin, query.question[0].rdtype)
                renderer.add_rdataset(dns.renderer.ANSWER, name, rdataset)
                renderer.write_header()
                context = renderer.add_multi_tsig(
                    context,
                    query.keyname,
                    query.keyring[query.keyname]
                    if isinstance(query.keyring, dict)
                    else query.keyring,
                    300,
                    query.id,
                    0,
                    b"",
                    query.mac,
                    dns.tsig.HMAC_SHA256,
                )
                renderer.write_header()
                yield renderer.get_wire()

        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve():
            while True:
                try:
                    stream, _ = listener.accept()
                except OSError:
                    return
                with stream:
                    query, _ = dns.query.receive_tcp(
                        stream, time.time() + 10, keyring=KEYS
                    )
                    for wire in answer(query):
                        stream.sendall(struct.pack("!H", len(wire)) + wire)
                    stream.recv(1)

        threading.Thread(target=serve, daemon=True).start()
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        key = pathlib.Path(self.folder) / "key"
        key.write_text(f'key: {{name: "reader.", secret: "{SECRET}"}}\n')
        done = self.run_program("query", address, "example.", "AXFR", "--key", key)
        self.assertEqual(done.returncode, 0, done.stderr)
        got = dns.zone.from_text(done.stdout, "example.", relativize=False)
        self.assertEqual(records_of(got), records_of(zone))
        done = self.run_program("query", address, "example.", "IXFR=0", "--key", key)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("-www.example. 60 IN A 192.0.2.99\n", done.stdout)
        self.assertIn("+www.example. 60 IN A 192.0.2.2\n", done.stdout)

    def start_secondary(self, primary, **more):
        zones = (
            '{name: "example.", primary: "%s", key: "reader.", folder: "copy"}'
            % primary.address
        )
        return self.serve(zones, name="second", zone=None, **more)

    def free_port(self):
        with socket.create_server(("127.0.0.1", 0)) as probe:
            return probe.getsockname()[1]

    def change(self, server, name):
        update = server.update()
        update.add(name, 60, "A", "192.0.2.50")
        self.assertEqual(server.send(update).rcode(), dns.rcode.NOERROR)

    def test_a_secondary_follows_notifies_and_timers(self):
        # The primary needs the address of the secondary before the secondary starts.
        port = self.free_port()
        primary = self.serve(more=f'notify: ["127.0.0.1:{port}"]')
        secondary = self.start_secondary(primary, listen=f"127.0.0.1:{port}")
        self.assertTrue(wait_for(lambda: secondary.serial() == 1))
        for n in range(10):
            self.change(primary, f"f{n}")
            self.assertTrue(wait_for(lambda: secondary.serial() == 2 + n))
        self.assertEqual(
            records_of(secondary.transfer()), records_of(primary.transfer())
        )
        log = (secondary.folder / "log").read_text()
        self.assertIn("zone renewed", log)
        update = secondary.update()
        update.add("x", 60, "A", "192.0.2.9")
        self.assertEqual(secondary.send(update).rcode(), dns.rcode.REFUSED)
        # Without the primary the copy is served after a restart, until it expires.
        primary.kill()
        secondary.kill()
        secondary.start()
        self.assertEqual(secondary.serial(), 11)
        primary.start()
        self.change(primary, "later")
        self.assertTrue(wait_for(lambda: secondary.serial() == 12))

    def test_faults_of_the_primary_do_not_change_the_secondary(self):
        primary = self.serve()
        port = primary.port
        secondary = self.start_secondary(primary)
        self.assertTrue(wait_for(lambda: secondary.serial() == 1))
        before = records_of(secondary.transfer())
        for fault in (
            "quiet: true",
            "refuse: true",
            "garbage: true",
            "half_transfers: true",
            "serial: 4000000000",
            "serial: 99",
        ):
            with self.subTest(fault=fault):
                primary.stop()
                primary.more = f"faults: [{{at: 0s, for: 10m, {fault}}}]"
                primary.port = port
                primary.start()
                self.send_change_without_answer(primary)
                mark = len((secondary.folder / "log").read_text())
                self.assertTrue(
                    wait_for(
                        lambda: "zone not renewed"
                        in (secondary.folder / "log").read_text()[mark:]
                        or fault.startswith("serial: 99")
                    )
                )
                if fault.startswith("serial: 99"):
                    # The primary claims a newer serial than it has, but the zone that
                    # it then sends is correct and newer than the copy.
                    continue
                self.assertEqual(records_of(secondary.transfer()), before)
        primary.stop()
        primary.more = ""
        primary.port = port
        primary.start()
        self.change(primary, "now")
        self.assertTrue(wait_for(lambda: secondary.ask("now.example.").answer))

    def send_change_without_answer(self, primary):
        """Sends an update to the primary without waiting for the answer."""
        update = primary.update()
        update.add(f"c{time.monotonic_ns()}", 60, "A", "192.0.2.50")
        wire = update.to_wire()
        with socket.create_connection(
            ("127.0.0.1", primary.port), timeout=10
        ) as stream:
            stream.sendall(struct.pack("!H", len(wire)) + wire)

    def test_a_zone_whose_primary_is_gone_expires(self):
        zone = ZONE.replace("1 2 1 30 5", "1 1 1 3 5")
        primary = self.serve(zone=zone)
        secondary = self.start_secondary(primary)
        self.assertTrue(wait_for(lambda: secondary.serial() == 1))
        primary.kill()
        self.assertTrue(
            wait_for(
                lambda: secondary.ask("www.example.").rcode() == dns.rcode.SERVFAIL
            )
        )
        primary.start()
        self.assertTrue(wait_for(lambda: secondary.ask("www.example.").answer))


class Files(TestCase):
    def test_a_changed_file_is_loaded_and_an_invalid_one_is_not(self):
        server = self.serve('{name: "example.", file: "example.zone"}')
        file = server.folder / "example.zone"

        def write(text):
            file.write_text(text)

        write(ZONE.replace("host 1 ", "host 2 ") + "new A 192.0.2.60\n")
        self.assertTrue(wait_for(lambda: server.ask("new.example.").answer))
        write(ZONE.replace("host 1 ", "host 3 ")[:38])
        self.assertTrue(wait_for(lambda: "zone file not taken up" in self.log(server)))
        self.assertTrue(server.ask("new.example.").answer)
        write(ZONE.replace("host 1 ", "host 2 "))
        self.assertTrue(wait_for(lambda: "its serial is still 2" in self.log(server)))
        write(ZONE)
        self.assertTrue(wait_for(lambda: "is not newer than 2" in self.log(server)))
        file.unlink()
        time.sleep(0.5)
        self.assertTrue(server.ask("new.example.").answer)
        write(ZONE.replace("host 1 ", "host 4 "))
        self.assertTrue(
            wait_for(lambda: server.ask("new.example.").rcode() == dns.rcode.NXDOMAIN)
        )

    def log(self, server):
        return (server.folder / "log").read_text()

    def test_an_invalid_file_at_the_start_causes_servfail_until_it_is_valid(self):
        server = self.serve(
            '{name: "example.", file: "example.zone"}', zone="nothing\n"
        )
        self.assertEqual(server.ask("www.example.").rcode(), dns.rcode.SERVFAIL)
        (server.folder / "example.zone").write_text(ZONE)
        self.assertTrue(wait_for(lambda: server.ask("www.example.").answer))

    def test_the_example_operator_file_is_valid(self):
        schema = pathlib.Path(self.folder) / "schema"
        schema.write_text(self.run_program("schema").stdout)
        example = CORPUS.parents[2] / "deploy" / "sources.records"
        done = subprocess.run(
            [
                PROGRAM,
                "check-records",
                example,
                "--schema",
                schema,
                "--definition",
                "#Sources",
            ],
            capture_output=True,
            text=True,
        )
        self.assertEqual(done.returncode, 0, done.stderr)

    def test_invalid_settings_are_refused_with_their_position(self):
        file = pathlib.Path(self.folder) / "bad.records"
        for text, why in (
            ('zones: [{name: "a..b", file: "x"}]', "empty label"),
            ('zones: [{name: "a."}]', "a zone has a file"),
            (
                'zones: [{name: "a.", file: "x", primary: "127.0.0.1:1"}]',
                "a zone has a file",
            ),
            (
                'zones: [{name: "a.", file: "x"}, {name: "A.", file: "x"}]',
                "given before",
            ),
            ('zones: [{name: "a.", primary: "here"}]', "expected an address"),
            (
                'zones: [{name: "a.", file: "x"}]\nkeys: [{name: "k.", secret: "?"}]',
                "Base64",
            ),
            (
                'zones: [{name: "a.", file: "x"}]\n' 'grants: [{key: "k.", top: "a."}]',
                "no key of this name",
            ),
        ):
            file.write_text(text + "\n")
            done = self.run_program("serve", file)
            self.assertEqual(done.returncode, 1, text)
            self.assertIn(
                str(file) + ":1:" if "\n" not in text else str(file) + ":2:",
                done.stderr,
            )
            self.assertIn(why, done.stderr)


if __name__ == "__main__":
    unittest.main()
