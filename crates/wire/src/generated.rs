#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = r" Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
#[doc = "Heartbeat: the sender is alive and has applied this revision."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Heartbeat: the sender is alive and has applied this revision.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"echo\","]
#[doc = "    \"revision\","]
#[doc = "    \"sequence\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"echo\": {"]
#[doc = "      \"description\": \"The last sequence received from the other end.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"platform_age_ms\": {"]
#[doc = "      \"description\": \"Milliseconds since the sender itself last read the head from the platform; absent when it never did.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"revision\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"sequence\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Beat {
    #[doc = "The last sequence received from the other end."]
    pub echo: u64,
    #[doc = "Milliseconds since the sender itself last read the head from the platform; absent when it never did."]
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub platform_age_ms: ::std::option::Option<u64>,
    pub revision: u64,
    pub sequence: u64,
}
impl ::std::convert::From<&Beat> for Beat {
    fn from(value: &Beat) -> Self {
        value.clone()
    }
}
#[doc = "Bills of the sender to hold until the platform keeps them: lines of one batch."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Bills of the sender to hold until the platform keeps them: lines of one batch.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"bills\","]
#[doc = "    \"kept\","]
#[doc = "    \"sequence\","]
#[doc = "    \"start\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"bills\": {"]
#[doc = "      \"description\": \"The bills as a list in JSON text.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"kept\": {"]
#[doc = "      \"description\": \"The platform keeps all batches below this one.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"sequence\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"start\": {"]
#[doc = "      \"description\": \"Line of the first bill within the batch.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BillCopies {
    #[doc = "The bills as a list in JSON text."]
    pub bills: ::std::string::String,
    #[doc = "The platform keeps all batches below this one."]
    pub kept: u64,
    pub sequence: u64,
    #[doc = "Line of the first bill within the batch."]
    pub start: u32,
}
impl ::std::convert::From<&BillCopies> for BillCopies {
    fn from(value: &BillCopies) -> Self {
        value.clone()
    }
}
#[doc = "The sender holds this many lines of a batch of the receiver's, from the first one on."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"The sender holds this many lines of a batch of the receiver's, from the first one on.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"lines\","]
#[doc = "    \"sequence\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"lines\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"sequence\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BillHeld {
    pub lines: u32,
    pub sequence: u64,
}
impl ::std::convert::From<&BillHeld> for BillHeld {
    fn from(value: &BillHeld) -> Self {
        value.clone()
    }
}
#[doc = "Decayed counts of good and bad answers."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Decayed counts of good and bad answers.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"bad\","]
#[doc = "    \"customer\","]
#[doc = "    \"good\","]
#[doc = "    \"model\","]
#[doc = "    \"sequence\","]
#[doc = "    \"task\","]
#[doc = "    \"version\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"bad\": {"]
#[doc = "      \"type\": \"number\""]
#[doc = "    },"]
#[doc = "    \"customer\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"good\": {"]
#[doc = "      \"type\": \"number\""]
#[doc = "    },"]
#[doc = "    \"model\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"sequence\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"task\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"version\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    pub bad: f64,
    pub customer: ::std::string::String,
    pub good: f64,
    pub model: ::std::string::String,
    pub sequence: u64,
    pub task: ::std::string::String,
    pub version: ::std::string::String,
}
impl ::std::convert::From<&Cell> for Cell {
    fn from(value: &Cell) -> Self {
        value.clone()
    }
}
#[doc = "One revision: the objects it put or removed."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"One revision: the objects it put or removed.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"change\","]
#[doc = "    \"entries\","]
#[doc = "    \"revision\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"change\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"entries\": {"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Entry\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"replaced\": {"]
#[doc = "      \"description\": \"Members as they stood before this revision changed them.\","]
#[doc = "      \"default\": [],"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Entry\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"revision\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    pub change: ::std::string::String,
    pub entries: ::std::vec::Vec<Entry>,
    #[doc = "Members as they stood before this revision changed them."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub replaced: ::std::vec::Vec<Entry>,
    pub revision: u64,
}
impl ::std::convert::From<&Delta> for Delta {
    fn from(value: &Delta) -> Self {
        value.clone()
    }
}
#[doc = "One object of the configuration; no body means removed."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"One object of the configuration; no body means removed.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"key\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"body\": {"]
#[doc = "      \"description\": \"The object as JSON text.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"key\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    #[doc = "The object as JSON text."]
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub body: ::std::option::Option<::std::string::String>,
    pub key: ::std::string::String,
}
impl ::std::convert::From<&Entry> for Entry {
    fn from(value: &Entry) -> Self {
        value.clone()
    }
}
#[doc = "Asks for the revisions after this one."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Asks for the revisions after this one.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"after\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"after\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fetch {
    pub after: u64,
}
impl ::std::convert::From<&Fetch> for Fetch {
    fn from(value: &Fetch) -> Self {
        value.clone()
    }
}
#[doc = "One message on a link between two nodes. CBOR on the wire; times in milliseconds."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"title\": \"Frame\","]
#[doc = "  \"description\": \"One message on a link between two nodes. CBOR on the wire; times in milliseconds.\","]
#[doc = "  \"oneOf\": ["]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"hello\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"hello\": {"]
#[doc = "          \"$ref\": \"#/definitions/Hello\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"beat\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"beat\": {"]
#[doc = "          \"$ref\": \"#/definitions/Beat\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"proof\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"proof\": {"]
#[doc = "          \"$ref\": \"#/definitions/Proof\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"delta\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"delta\": {"]
#[doc = "          \"$ref\": \"#/definitions/Delta\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"fetch\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"fetch\": {"]
#[doc = "          \"$ref\": \"#/definitions/Fetch\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"snapshot\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"snapshot\": {"]
#[doc = "          \"$ref\": \"#/definitions/Snapshot\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"touch\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"touch\": {"]
#[doc = "          \"$ref\": \"#/definitions/Touch\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"slot_request\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"slot_request\": {"]
#[doc = "          \"$ref\": \"#/definitions/SlotRequest\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"slot_handover\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"slot_handover\": {"]
#[doc = "          \"$ref\": \"#/definitions/SlotHandover\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"slot_grant\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"slot_grant\": {"]
#[doc = "          \"$ref\": \"#/definitions/SlotGrant\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"ratings\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"ratings\": {"]
#[doc = "          \"$ref\": \"#/definitions/Ratings\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"suspect\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"suspect\": {"]
#[doc = "          \"$ref\": \"#/definitions/Suspect\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"spend\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"spend\": {"]
#[doc = "          \"$ref\": \"#/definitions/Spend\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"leave\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"leave\": {"]
#[doc = "          \"$ref\": \"#/definitions/Leave\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"relay\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"relay\": {"]
#[doc = "          \"$ref\": \"#/definitions/Relay\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"bill_copies\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"bill_copies\": {"]
#[doc = "          \"$ref\": \"#/definitions/BillCopies\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"bill_held\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"bill_held\": {"]
#[doc = "          \"$ref\": \"#/definitions/BillHeld\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    }"]
#[doc = "  ]"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum Frame {
    #[serde(rename = "hello")]
    Hello(Hello),
    #[serde(rename = "beat")]
    Beat(Beat),
    #[serde(rename = "proof")]
    Proof(Proof),
    #[serde(rename = "delta")]
    Delta(Delta),
    #[serde(rename = "fetch")]
    Fetch(Fetch),
    #[serde(rename = "snapshot")]
    Snapshot(Snapshot),
    #[serde(rename = "touch")]
    Touch(Touch),
    #[serde(rename = "slot_request")]
    SlotRequest(SlotRequest),
    #[serde(rename = "slot_handover")]
    SlotHandover(SlotHandover),
    #[serde(rename = "slot_grant")]
    SlotGrant(SlotGrant),
    #[serde(rename = "ratings")]
    Ratings(Ratings),
    #[serde(rename = "suspect")]
    Suspect(Suspect),
    #[serde(rename = "spend")]
    Spend(Spend),
    #[serde(rename = "leave")]
    Leave(Leave),
    #[serde(rename = "relay")]
    Relay(Relay),
    #[serde(rename = "bill_copies")]
    BillCopies(BillCopies),
    #[serde(rename = "bill_held")]
    BillHeld(BillHeld),
}
impl ::std::convert::From<&Self> for Frame {
    fn from(value: &Frame) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Hello> for Frame {
    fn from(value: Hello) -> Self {
        Self::Hello(value)
    }
}
impl ::std::convert::From<Beat> for Frame {
    fn from(value: Beat) -> Self {
        Self::Beat(value)
    }
}
impl ::std::convert::From<Proof> for Frame {
    fn from(value: Proof) -> Self {
        Self::Proof(value)
    }
}
impl ::std::convert::From<Delta> for Frame {
    fn from(value: Delta) -> Self {
        Self::Delta(value)
    }
}
impl ::std::convert::From<Fetch> for Frame {
    fn from(value: Fetch) -> Self {
        Self::Fetch(value)
    }
}
impl ::std::convert::From<Snapshot> for Frame {
    fn from(value: Snapshot) -> Self {
        Self::Snapshot(value)
    }
}
impl ::std::convert::From<Touch> for Frame {
    fn from(value: Touch) -> Self {
        Self::Touch(value)
    }
}
impl ::std::convert::From<SlotRequest> for Frame {
    fn from(value: SlotRequest) -> Self {
        Self::SlotRequest(value)
    }
}
impl ::std::convert::From<SlotHandover> for Frame {
    fn from(value: SlotHandover) -> Self {
        Self::SlotHandover(value)
    }
}
impl ::std::convert::From<SlotGrant> for Frame {
    fn from(value: SlotGrant) -> Self {
        Self::SlotGrant(value)
    }
}
impl ::std::convert::From<Ratings> for Frame {
    fn from(value: Ratings) -> Self {
        Self::Ratings(value)
    }
}
impl ::std::convert::From<Suspect> for Frame {
    fn from(value: Suspect) -> Self {
        Self::Suspect(value)
    }
}
impl ::std::convert::From<Spend> for Frame {
    fn from(value: Spend) -> Self {
        Self::Spend(value)
    }
}
impl ::std::convert::From<Leave> for Frame {
    fn from(value: Leave) -> Self {
        Self::Leave(value)
    }
}
impl ::std::convert::From<Relay> for Frame {
    fn from(value: Relay) -> Self {
        Self::Relay(value)
    }
}
impl ::std::convert::From<BillCopies> for Frame {
    fn from(value: BillCopies) -> Self {
        Self::BillCopies(value)
    }
}
impl ::std::convert::From<BillHeld> for Frame {
    fn from(value: BillHeld) -> Self {
        Self::BillHeld(value)
    }
}
#[doc = "First frame in each direction: who is at this end."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"First frame in each direction: who is at this end.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"incarnation\","]
#[doc = "    \"key\","]
#[doc = "    \"link\","]
#[doc = "    \"node\","]
#[doc = "    \"protocol\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"incarnation\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"key\": {"]
#[doc = "      \"description\": \"HMAC over the other end's nonce, node and incarnation with a shared link key.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"link\": {"]
#[doc = "      \"description\": \"Address on which the sender accepts links, ip:port.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"protocol\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    pub incarnation: u64,
    #[doc = "HMAC over the other end's nonce, node and incarnation with a shared link key."]
    pub key: ::std::string::String,
    #[doc = "Address on which the sender accepts links, ip:port."]
    pub link: ::std::string::String,
    pub node: ::std::string::String,
    pub protocol: u32,
}
impl ::std::convert::From<&Hello> for Hello {
    fn from(value: &Hello) -> Self {
        value.clone()
    }
}
#[doc = "The sender stops: callers are no longer sent to it."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"The sender stops: callers are no longer sent to it.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"incarnation\","]
#[doc = "    \"node\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"incarnation\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    pub incarnation: u64,
    pub node: ::std::string::String,
}
impl ::std::convert::From<&Leave> for Leave {
    fn from(value: &Leave) -> Self {
        value.clone()
    }
}
#[doc = "The platform's head was no greater than revision age_ms ago."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"The platform's head was no greater than revision age_ms ago.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"age_ms\","]
#[doc = "    \"revision\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"age_ms\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"revision\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Proof {
    pub age_ms: u64,
    pub revision: u64,
}
impl ::std::convert::From<&Proof> for Proof {
    fn from(value: &Proof) -> Self {
        value.clone()
    }
}
#[doc = "A node's own rating counters, complete for the cells named; receivers keep the newest per node."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"A node's own rating counters, complete for the cells named; receivers keep the newest per node.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"cells\","]
#[doc = "    \"incarnation\","]
#[doc = "    \"node\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"cells\": {"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Cell\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"incarnation\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Ratings {
    pub cells: ::std::vec::Vec<Cell>,
    pub incarnation: u64,
    pub node: ::std::string::String,
}
impl ::std::convert::From<&Ratings> for Ratings {
    fn from(value: &Ratings) -> Self {
        value.clone()
    }
}
#[doc = "A frame for all nodes, passed on by each node once to its other links."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"A frame for all nodes, passed on by each node once to its other links.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"frame\","]
#[doc = "    \"incarnation\","]
#[doc = "    \"node\","]
#[doc = "    \"sequence\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"frame\": {"]
#[doc = "      \"description\": \"The frame in CBOR.\","]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"type\": \"integer\","]
#[doc = "        \"format\": \"uint8\","]
#[doc = "        \"minimum\": 0.0"]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"incarnation\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"description\": \"Node that sent it first.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"sequence\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Relay {
    #[doc = "The frame in CBOR."]
    pub frame: ::std::vec::Vec<u8>,
    pub incarnation: u64,
    #[doc = "Node that sent it first."]
    pub node: ::std::string::String,
    pub sequence: u64,
}
impl ::std::convert::From<&Relay> for Relay {
    fn from(value: &Relay) -> Self {
        value.clone()
    }
}
#[doc = "Slots that a holder may occupy, up to its grant of this sequence."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Slots that a holder may occupy, up to its grant of this sequence.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"incarnation\","]
#[doc = "    \"node\","]
#[doc = "    \"sequence\","]
#[doc = "    \"slots\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"incarnation\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"sequence\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"slots\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SlotCharge {
    pub incarnation: u64,
    pub node: ::std::string::String,
    pub sequence: u64,
    pub slots: u32,
}
impl ::std::convert::From<&SlotCharge> for SlotCharge {
    fn from(value: &SlotCharge) -> Self {
        value.clone()
    }
}
#[doc = "Slots granted by the home until they expire, ttl_ms after the request was sent."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Slots granted by the home until they expire, ttl_ms after the request was sent.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"backend\","]
#[doc = "    \"fence\","]
#[doc = "    \"sequence\","]
#[doc = "    \"slots\","]
#[doc = "    \"ttl_ms\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"backend\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"fence\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"sequence\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"slots\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"ttl_ms\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SlotGrant {
    pub backend: ::std::string::String,
    pub fence: u64,
    pub sequence: u64,
    pub slots: u32,
    pub ttl_ms: u64,
}
impl ::std::convert::From<&SlotGrant> for SlotGrant {
    fn from(value: &SlotGrant) -> Self {
        value.clone()
    }
}
#[doc = "What the home of a backend server knows, for the home that a change of members has put in its place."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"What the home of a backend server knows, for the home that a change of members has put in its place.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"backend\","]
#[doc = "    \"charges\","]
#[doc = "    \"completed\","]
#[doc = "    \"fence\","]
#[doc = "    \"limit\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"backend\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"charges\": {"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/SlotCharge\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"completed\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"fence\": {"]
#[doc = "      \"description\": \"Revision that made the receiver the home.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"limit\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SlotHandover {
    pub backend: ::std::string::String,
    pub charges: ::std::vec::Vec<SlotCharge>,
    pub completed: u64,
    #[doc = "Revision that made the receiver the home."]
    pub fence: u64,
    pub limit: u32,
}
impl ::std::convert::From<&SlotHandover> for SlotHandover {
    fn from(value: &SlotHandover) -> Self {
        value.clone()
    }
}
#[doc = "Asks the home of a backend server for slots; held counts requests in flight there now."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Asks the home of a backend server for slots; held counts requests in flight there now.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"backend\","]
#[doc = "    \"chills\","]
#[doc = "    \"completed\","]
#[doc = "    \"held\","]
#[doc = "    \"sequence\","]
#[doc = "    \"using\","]
#[doc = "    \"wanted\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"backend\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"chills\": {"]
#[doc = "      \"description\": \"Signs of a cold start that the sender saw there, back to 0 after a time without any.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"completed\": {"]
#[doc = "      \"description\": \"Requests completed there since the sender started.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"held\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"sequence\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"using\": {"]
#[doc = "      \"description\": \"Sequence of the newest grant that the sender received.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"wanted\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SlotRequest {
    pub backend: ::std::string::String,
    #[doc = "Signs of a cold start that the sender saw there, back to 0 after a time without any."]
    pub chills: u64,
    #[doc = "Requests completed there since the sender started."]
    pub completed: u64,
    pub held: u32,
    pub sequence: u64,
    #[doc = "Sequence of the newest grant that the sender received."]
    pub using: u64,
    pub wanted: u32,
}
impl ::std::convert::From<&SlotRequest> for SlotRequest {
    fn from(value: &SlotRequest) -> Self {
        value.clone()
    }
}
#[doc = "The whole configuration, for a node that is further behind than the revisions kept; last is the newest revision alone."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"The whole configuration, for a node that is further behind than the revisions kept; last is the newest revision alone.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"entries\","]
#[doc = "    \"last\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"entries\": {"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Entry\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"last\": {"]
#[doc = "      \"$ref\": \"#/definitions/Delta\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    pub entries: ::std::vec::Vec<Entry>,
    pub last: Delta,
}
impl ::std::convert::From<&Snapshot> for Snapshot {
    fn from(value: &Snapshot) -> Self {
        value.clone()
    }
}
#[doc = "What a node has spent for a customer in a budget period."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"What a node has spent for a customer in a budget period.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"customer\","]
#[doc = "    \"incarnation\","]
#[doc = "    \"micros\","]
#[doc = "    \"node\","]
#[doc = "    \"period\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"customer\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"incarnation\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"micros\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"period\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Spend {
    pub customer: ::std::string::String,
    pub incarnation: u64,
    pub micros: u64,
    pub node: ::std::string::String,
    pub period: u64,
}
impl ::std::convert::From<&Spend> for Spend {
    fn from(value: &Spend) -> Self {
        value.clone()
    }
}
#[doc = "A request fingerprint during which a backend server died."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"A request fingerprint during which a backend server died.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"age_ms\","]
#[doc = "    \"backend\","]
#[doc = "    \"fingerprint\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"age_ms\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"backend\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"fingerprint\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    pub age_ms: u64,
    pub backend: ::std::string::String,
    pub fingerprint: ::std::string::String,
}
impl ::std::convert::From<&Suspect> for Suspect {
    fn from(value: &Suspect) -> Self {
        value.clone()
    }
}
#[doc = "What the sender knows of all members, in the order of their names: how long ago each was heard and how many revisions it was behind the sender."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"What the sender knows of all members, in the order of their names: how long ago each was heard and how many revisions it was behind the sender.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"ages\","]
#[doc = "    \"lags\","]
#[doc = "    \"revision\","]
#[doc = "    \"voters\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"ages\": {"]
#[doc = "      \"description\": \"Units of 100 ms, rounded up; 255 when not heard.\","]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"type\": \"integer\","]
#[doc = "        \"format\": \"uint8\","]
#[doc = "        \"minimum\": 0.0"]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"lags\": {"]
#[doc = "      \"description\": \"Revisions behind the sender; 255 when further.\","]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"type\": \"integer\","]
#[doc = "        \"format\": \"uint8\","]
#[doc = "        \"minimum\": 0.0"]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"revision\": {"]
#[doc = "      \"description\": \"Revision that the sender has applied.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"voters\": {"]
#[doc = "      \"description\": \"Digest of the names and incarnations that the lists follow.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Touch {
    #[doc = "Units of 100 ms, rounded up; 255 when not heard."]
    pub ages: ::std::vec::Vec<u8>,
    #[doc = "Revisions behind the sender; 255 when further."]
    pub lags: ::std::vec::Vec<u8>,
    #[doc = "Revision that the sender has applied."]
    pub revision: u64,
    #[doc = "Digest of the names and incarnations that the lists follow."]
    pub voters: u64,
}
impl ::std::convert::From<&Touch> for Touch {
    fn from(value: &Touch) -> Self {
        value.clone()
    }
}
