import { type AddressInfo, createServer } from 'node:net';

/** Returns a loopback address whose port is free: the port is chosen by the system and released again. */
export function freeAddress(): Promise<string> {
  return new Promise((resolve) => {
    const probe = createServer().listen(0, '127.0.0.1', () => {
      const { port } = probe.address() as AddressInfo;
      probe.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
}
