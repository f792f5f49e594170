/** The owner's side of a takeover: confirms its ownership, and shows through the store that it is alive. */
import { describeReplaced } from './operator-messages.js';
import { Confirmation, type Ownership } from './ownership.js';
import { isOwnerStage } from './stage.js';
import type { TakeoverContext } from './takeover-context.js';
import type { UnitState } from './unit-state.js';

/** What an owner does for each of its units. */
export class OwnerRole<Prepared> {
  constructor(private readonly context: TakeoverContext<Prepared>) {}

  /** Confirms the ownership when that is due, and writes a heartbeat where the peers cannot observe this process. */
  async poll(state: UnitState<Prepared>, ownership: Ownership): Promise<void> {
    const { claims, settings, membership } = this.context.environment;
    const { now } = this.context;
    const isConfirmationDue = !this.context.gate.open || now - state.readAt >= settings.maxReadingAgeMs;
    if (isConfirmationDue) await this.confirm(state, ownership);
    if (!isOwnerStage(state.stage) || membership.hasMajority) return;
    if (now - state.lastHeartbeatAt < settings.heartbeatIntervalMs) return;
    state.lastHeartbeatAt = now;
    await claims.writeHeartbeat(ownership);
  }

  private async confirm(state: UnitState<Prepared>, ownership: Ownership): Promise<void> {
    const { environment, gate } = this.context;
    const { generation } = gate;
    const confirmation = await environment.claims.confirm(ownership);
    state.readAt = this.context.now;
    if (confirmation === Confirmation.Held) gate.reopen(generation);
    if (confirmation !== Confirmation.Superseded) return;
    const reason = describeReplaced(state.unit, gate.open ? null : this.context.lastPauseMs);
    environment.log.warn({ unit: state.unit, epoch: ownership.epoch }, reason);
    this.context.endOwnership(state, reason);
    state.readAt = -Infinity;
  }
}
