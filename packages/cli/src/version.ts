/** Version of the product, equal to that in the package.json of every workspace. */

/** Version of this build. */
export const VERSION = '0.1.0';
