/**
 * How far this process can trust its own timing (Lifeguard's local health multiplier): one that is slow itself
 * waits longer before it suspects others.
 */

/** What raises or lowers the score. */
export enum HealthSign {
  /** A probe was answered in time. */
  ProbeAnswered,
  /** A probe was not answered, and a helper that was asked to probe did not answer either. */
  HelperSilent,
  /** A timer of ours fired late. */
  LateTimer,
  /** Others suspected this process, and it had to refute that. */
  Refuted,
}

const CHANGE: Readonly<Record<HealthSign, number>> = {
  [HealthSign.ProbeAnswered]: -1,
  [HealthSign.HelperSilent]: 1,
  [HealthSign.LateTimer]: 1,
  [HealthSign.Refuted]: 1,
};

/** A score between 0 (healthy) and a most; periods are stretched by one more than it. */
export class LocalHealth {
  private current = 0;

  constructor(private readonly most: number) {}

  note(sign: HealthSign): void {
    this.current = Math.min(this.most, Math.max(0, this.current + CHANGE[sign]));
  }

  get score(): number {
    return this.current;
  }

  get multiplier(): number {
    return this.current + 1;
  }
}
