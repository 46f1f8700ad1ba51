/** Listens at an address and accepts nothing: the process that started it stops it. New connections to it then hang. */
import { createServer } from "node:net";

const [, , host, port] = process.argv;

createServer().listen({ host, port: Number(port), backlog: 1 }, () => process.send("listening"));
