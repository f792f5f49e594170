/**
 * Lifeguard's local health multiplier, which measures how far this process can trust its own timing. A slow process
 * waits longer before it suspects other members.
 */

/** Events that raise or lower the local health score. */
export enum HealthEvent {
  /** A probe was answered in time. */
  ProbeAnswered,
  /** A probe was not answered, and no helper (a member asked for an indirect probe) answered either. */
  HelpersUnresponsive,
  /** A timer of this process fired late. */
  LateTimer,
  /** A peer suspected this process, which had to refute the suspicion. */
  Refuted,
}

const SCORE_CHANGE: Readonly<Record<HealthEvent, number>> = {
  [HealthEvent.ProbeAnswered]: -1,
  [HealthEvent.HelpersUnresponsive]: 1,
  [HealthEvent.LateTimer]: 1,
  [HealthEvent.Refuted]: 1,
};

/** The local health score, between 0 (healthy) and a maximum. Timeouts are multiplied by the score plus one. */
export class LocalHealth {
  private currentScore = 0;

  constructor(private readonly maxScore: number) {}

  /** Adjusts the score for an event. */
  record(event: HealthEvent): void {
    this.currentScore = Math.min(this.maxScore, Math.max(0, this.currentScore + SCORE_CHANGE[event]));
  }

  /** The current score; 0: healthy. */
  get score(): number {
    return this.currentScore;
  }

  /** The factor by which timeouts are multiplied. */
  get multiplier(): number {
    return this.currentScore + 1;
  }
}
