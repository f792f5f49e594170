import type { ImageId } from '../../model/ids.js';

/** A model of the image cache on a machine, with eviction of the least recently used images. */
export class ImageCache {
  /** Image sizes in GB, least recently used first. */
  private readonly sizes = new Map<ImageId, number>();

  has(image: ImageId): boolean {
    return this.sizes.has(image);
  }

  /**
   * Records a use of the image, and evicts other images until the total is at most `capacityGb` or no other is left.
   */
  use(image: ImageId, sizeGb: number, capacityGb: number): void {
    this.sizes.delete(image);
    this.sizes.set(image, sizeGb);
    let totalGb = 0;
    for (const size of this.sizes.values()) totalGb += size;
    for (const [oldest, size] of this.sizes) {
      if (totalGb <= capacityGb || oldest === image) break;
      this.sizes.delete(oldest);
      totalGb -= size;
    }
  }
}
