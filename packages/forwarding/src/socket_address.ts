/** Addresses of processes on the network. */

import {isIPv4} from 'node:net';

const MAXIMUM_PORT = 65_535;

/** Whether a connection can be opened to `text`, an IPv4 address and a port as `IP:PORT`. */
export function isSocketAddress(text: string): boolean {
  const [address = '', port = '', ...rest] = text.split(':');
  const isPort =
    /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= MAXIMUM_PORT;
  return isIPv4(address) && isPort && rest.length === 0;
}
