//! Run records and bills.
