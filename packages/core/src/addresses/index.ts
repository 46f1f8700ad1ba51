/** Addresses of the form IP:PORT. */
import { isIPv4 } from "node:net";

const maxPort = 65_535;

/** Whether a text is an IPv4 address and a port that connections can be opened to: others make `connect` throw. */
export const isSocketAddress = (text: string): boolean => {
    const [host, port = "", ...rest] = text.split(":");
    return isIPv4(host) && rest.length === 0 && /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= maxPort;
};
