/** The product's version, the same as in every workspace's package.json. */

/** Version of this build. */
export const VERSION = '0.1.0';
