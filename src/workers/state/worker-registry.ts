import type { HostId } from '../../model/ids.js';
import type { Host } from './worker.js';

/** All machines that may exist, as the leader knows them. */
export class HostRegistry {
  private readonly hosts = new Map<HostId, Host>();
  /** Machines proven gone: a late report or list must not bring them back. */
  private readonly gone = new Set<HostId>();

  get size(): number {
    return this.hosts.size;
  }

  get(id: HostId): Host | undefined {
    return this.hosts.get(id);
  }

  has(id: HostId): boolean {
    return this.hosts.has(id);
  }

  values(): Iterable<Host> {
    return this.hosts.values();
  }

  /** Whether the machine was proven gone. */
  isGone(id: HostId): boolean {
    return this.gone.has(id);
  }

  add(host: Host): void {
    if (!this.gone.has(host.id)) this.hosts.set(host.id, host);
  }

  remove(id: HostId): void {
    this.hosts.delete(id);
    this.gone.add(id);
    if (this.gone.size > 5000) {
      const oldest = this.gone.values().next().value;
      if (oldest !== undefined) this.gone.delete(oldest);
    }
  }
}
