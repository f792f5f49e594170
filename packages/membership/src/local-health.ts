/**
 * Lifeguard's local health multiplier: how far this process can trust its own timing. A process that is slow itself
 * waits longer before it suspects others.
 */

/** Events that raise or lower the score. */
export enum HealthEvent {
  /** A probe was answered in time. */
  ProbeAnswered,
  /** A probe was not answered, and no member that was asked for an indirect probe answered either. */
  HelpersUnresponsive,
  /** A timer of ours fired late. */
  LateTimer,
  /** Others suspected this process, and it had to refute that. */
  Refuted,
}

const SCORE_CHANGE: Readonly<Record<HealthEvent, number>> = {
  [HealthEvent.ProbeAnswered]: -1,
  [HealthEvent.HelpersUnresponsive]: 1,
  [HealthEvent.LateTimer]: 1,
  [HealthEvent.Refuted]: 1,
};

/** A score between 0 (healthy) and a maximum. Timeouts are multiplied by the score plus one. */
export class LocalHealth {
  private currentScore = 0;

  constructor(private readonly maxScore: number) {}

  /** Adjusts the score. */
  record(sign: HealthEvent): void {
    this.currentScore = Math.min(this.maxScore, Math.max(0, this.currentScore + SCORE_CHANGE[sign]));
  }

  /** 0: healthy. */
  get score(): number {
    return this.currentScore;
  }

  /** The factor by which timeouts are extended. */
  get multiplier(): number {
    return this.currentScore + 1;
  }
}
