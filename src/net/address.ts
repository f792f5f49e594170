/** The host and port of a listening socket. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Splits an address such as `10.0.0.1:8080` into host and port. */
export function splitAddress(address: string): Address {
  const colonIndex = address.lastIndexOf(':');
  return { host: address.slice(0, colonIndex), port: Number(address.slice(colonIndex + 1)) };
}
