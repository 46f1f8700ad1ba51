/** Listens at a port and accepts nothing: the process that started it stops it. New connections to the port then hang. */
import { createServer } from "node:net";

createServer().listen(
    { host: "127.0.0.1", port: Number(process.argv[2]), backlog: 1 },
    () => process.send("listening"),
);
