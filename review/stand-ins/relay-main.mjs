/** Program of a relay in a process of its own. While it is stopped and its queue of new connections is full, opening ones hang. */
import { connect, createServer } from "node:net";

const [target] = process.argv.slice(2);
const [host, port] = target.split(":");
const server = createServer(client => {
    const upstream = connect(Number(port), host);
    client.on("error", () => upstream.destroy());
    upstream.on("error", () => client.destroy());
    client.on("close", () => upstream.destroy());
    upstream.on("close", () => client.destroy());
    client.pipe(upstream);
    upstream.pipe(client);
});
server.listen({ host: "127.0.0.1", port: 0, backlog: 1 }, () => process.send(server.address().port));
process.on("disconnect", () => process.exit());
