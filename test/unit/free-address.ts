import { type AddressInfo, createServer } from 'node:net';

/** A loopback address at which nothing listens. */
export function freeAddress(): Promise<string> {
  return new Promise((resolve) => {
    const probe = createServer().listen(0, '127.0.0.1', () => {
      const { port } = probe.address() as AddressInfo;
      probe.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
}
