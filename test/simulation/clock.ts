/** The simulation's clocks with the service's own types of time. */
import { ProcessClock as SimulatedProcessClock, VirtualClock as SimulatedTime } from '@plumyoke/simulation';
import type { Clock, MonotonicTime, WallTime } from '../../src/model/time.js';

/** Virtual time that only tests advance. */
export class VirtualClock extends SimulatedTime implements Clock {
  override now(): MonotonicTime {
    return super.now() as MonotonicTime;
  }

  override wall(): WallTime {
    return super.wall() as WallTime;
  }
}

/** The clock of one process: none of its timers runs after the process was killed. */
export class ProcessClock extends SimulatedProcessClock implements Clock {
  override now(): MonotonicTime {
    return super.now() as MonotonicTime;
  }

  override wall(): WallTime {
    return super.wall() as WallTime;
  }
}
