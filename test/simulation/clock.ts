/** The clocks of `@plumyoke/simulation`, typed with the service's own `MonotonicTime` and `WallTime`. */
import {
  ProcessClock as SimulatedProcessClock,
  VirtualClock as SimulatedVirtualClock,
} from '@plumyoke/simulation';
import type { Clock, MonotonicTime, WallTime } from '../../src/model/time.js';

/** A virtual clock whose time advances only when a test advances it. */
export class VirtualClock extends SimulatedVirtualClock implements Clock {
  override now(): MonotonicTime {
    return super.now() as MonotonicTime;
  }

  override wall(): WallTime {
    return super.wall() as WallTime;
  }
}

/** The clock of one simulated process. No timer runs while the process is paused or after the process was killed. */
export class ProcessClock extends SimulatedProcessClock implements Clock {
  override now(): MonotonicTime {
    return super.now() as MonotonicTime;
  }

  override wall(): WallTime {
    return super.wall() as WallTime;
  }
}
