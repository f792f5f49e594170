/** A network address at which something listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Splits an address such as `10.0.0.1:8080`. */
export function splitAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
