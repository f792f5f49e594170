/** The owner's side of a takeover: confirms the ownership, and writes heartbeats to the store. */
import { describeReplacement } from './operator-messages.js';
import { OwnershipConfirmation, type Ownership } from './ownership.js';
import { isOwnerStage } from './stage.js';
import type { TakeoverContext } from './takeover-context.js';
import type { UnitState } from './unit-state.js';

/** Polls the units that this member owns: confirms each ownership, and writes heartbeats where needed. */
export class OwnerRole<Prepared> {
  constructor(private readonly context: TakeoverContext<Prepared>) {}

  /**
   * Confirms the ownership if the gate is closed or the last attempt to confirm is at least `maxReadingAgeMs` old.
   * Without contact to a majority, also writes a heartbeat to the store every `heartbeatIntervalMs`, because the peers
   * cannot observe this process over the network.
   */
  async poll(state: UnitState<Prepared>, ownership: Ownership): Promise<void> {
    const { claims, settings, membership } = this.context.environment;
    const { now } = this.context;
    const isConfirmationDue = !this.context.gate.isOpen || now - state.readAtMs >= settings.maxReadingAgeMs;
    if (isConfirmationDue) await this.confirm(state, ownership);
    if (!isOwnerStage(state.stage) || membership.hasMajority) return;
    if (now - state.lastHeartbeatAtMs < settings.heartbeatIntervalMs) return;
    state.lastHeartbeatAtMs = now;
    await claims.writeHeartbeat(ownership);
  }

  private async confirm(state: UnitState<Prepared>, ownership: Ownership): Promise<void> {
    const { environment, gate } = this.context;
    const { generation } = gate;
    const confirmation = await environment.claims.confirm(ownership);
    state.readAtMs = this.context.now;
    if (confirmation === OwnershipConfirmation.Held) gate.reopen(generation);
    if (confirmation !== OwnershipConfirmation.Superseded) return;
    const reason = describeReplacement(state.unit, gate.isOpen ? null : this.context.lastPauseMs);
    environment.log.warn({ unit: state.unit, epoch: ownership.epoch }, reason);
    this.context.endOwnership(state, reason);
    state.readAtMs = -Infinity;
  }
}
